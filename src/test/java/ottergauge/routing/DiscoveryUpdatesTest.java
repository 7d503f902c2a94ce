// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ottergauge.protocol.TestConfig.endpointJson;

import java.util.HashSet;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import ottergauge.protocol.EndpointList;
import ottergauge.protocol.NodeConfig;
import ottergauge.protocol.TestConfig;
import ottergauge.routing.Effect.CloseUpstream;
import ottergauge.routing.Effect.ConnectUpstream;
import ottergauge.routing.Effect.Forward;
import ottergauge.routing.Effect.PollDiscovery;
import ottergauge.routing.Effect.Respond;

/**
 * Tests updates of the endpoint list, draining servers and the polls that the node sends to
 * discovery.
 */
class DiscoveryUpdatesTest {

    private static final String ONE = endpointJson("s-1", "10.0.0.1:80", "in_service");
    private static final String TWO = endpointJson("s-2", "10.0.0.2:80", "in_service");

    private static final String TWO_ADDRESS = "10.0.0.2:80";

    private static RouterDriver one() {
        return new RouterDriver(new TestConfig().withEndpoints(ONE));
    }

    private static RouterDriver two() {
        return new RouterDriver(new TestConfig().withEndpoints(ONE, TWO));
    }

    @Test
    void attemptWaitingForADrainingServer_isSentToAnother() {
        RouterDriver node = watchingNode();
        long client = node.request("grant");
        ConnectUpstream connect = node.expect(ConnectUpstream.class);
        node.receiveList(42, false, endpointJson("s-1", "10.0.0.1:80", "terminating"), TWO);
        assertEquals("10.0.0.2:80", node.expect(ConnectUpstream.class).address().toString());
        node.handle(new Event.UpstreamConnected(connect.connection()));
        node.expectNo(Forward.class);
        node.expectNo(Respond.class);
        assertTrue(client > 0);
    }

    @Test
    void removedServer_hasItsConnectionsClosedWhenTheyAreIdle() {
        RouterDriver node = two();
        node.request("read");
        Forward busy = node.connectNext();
        node.written(busy);
        node.receiveList(42, true);
        node.expectNo(CloseUpstream.class);
        node.answer(busy, 200, false);
        assertEquals(200, node.expect(Respond.class).status());
        assertEquals(CloseReason.DELISTED, node.expect(CloseUpstream.class).reason());
    }

    @Test
    void movedServer_isReachedAtItsNewAddress() {
        RouterDriver node = one();
        node.request("read");
        node.serve(node.connectNext());
        node.receiveList(42, false, endpointJson("s-1", "10.0.0.9:80", "in_service"));
        assertEquals(CloseReason.DELISTED, node.expect(CloseUpstream.class).reason());
        node.request("read");
        assertEquals("10.0.0.9:80", node.expect(ConnectUpstream.class).address().toString());
    }

    private static RouterDriver watchingNode() {
        RouterDriver node = one();
        node.advanceMs(300);
        return node;
    }

    @Test
    void watch_beginsAtTheKnownVersionAndContinuesAtOnce() {
        RouterDriver node = watchingNode();
        PollDiscovery first = node.expect(PollDiscovery.class);
        assertEquals(41, first.afterVersion());
        node.advanceMs(1000);
        node.receiveList(43, false, TWO);
        PollDiscovery next = node.expect(PollDiscovery.class);
        assertEquals(43, next.afterVersion());
        assertTrue(
                next.maxWaitMicros() >= 200_000 && next.maxWaitMicros() <= 3_000_000,
                "waits " + next.maxWaitMicros());
        node.expectNo(PollDiscovery.class);
    }

    /** Guards against requests to a server that began to drain while the watch was silent. */
    @Test
    void silentWatch_isNoticedBeforeThePropagationDeadline() {
        RouterDriver node = watchingNode();
        node.receiveList(41, false);
        node.expect(PollDiscovery.class);
        PollDiscovery silent = node.expect(PollDiscovery.class);
        node.advanceMs(silent.maxWaitMicros() / 1000 + 300);
        assertEquals(41, node.expect(PollDiscovery.class).afterVersion());
        node.receiveList(42, false, endpointJson("s-1", "127.0.0.1:4000", "terminating"));
        node.request("read");
        node.expectNo(ConnectUpstream.class);
    }

    /**
     * Guards against using both entries of a server that a list contains twice: the last entry
     * counts.
     */
    @Test
    void endpointListedTwice_hasTheStateOfItsLastEntry() {
        RouterDriver node = watchingNode();
        node.receiveList(
                42,
                true,
                endpointJson("s-1", "127.0.0.1:4000", "in_service"),
                endpointJson("s-1", "127.0.0.1:4000", "terminating"),
                TWO);
        for (int i = 0; i < 3; i++) {
            node.request("read");
            assertEquals(TWO_ADDRESS, node.expect(ConnectUpstream.class).address().toString());
        }
        node.receiveList(
                43,
                false,
                endpointJson("s-1", "127.0.0.1:4000", "terminated"),
                endpointJson("s-1", "127.0.0.1:4009", "in_service"),
                endpointJson("s-2", "127.0.0.1:4001", "terminating"));
        node.request("read");
        assertEquals("127.0.0.1:4009", node.expect(ConnectUpstream.class).address().toString());
    }

    @Test
    void emptyAnswers_areFollowedByADelay() {
        RouterDriver node = watchingNode();
        node.expect(PollDiscovery.class);
        node.receiveList(41, false);
        node.expect(PollDiscovery.class);
        node.receiveList(41, false);
        node.expectNo(PollDiscovery.class);
        node.advanceMs(199);
        node.expect(PollDiscovery.class);
    }

    @Test
    void failedPoll_isFollowedByABackoff() {
        RouterDriver node = watchingNode();
        node.expect(PollDiscovery.class);
        node.pollFailed();
        node.expectNo(PollDiscovery.class);
        node.advanceMs(1000);
        node.expect(PollDiscovery.class);
        node.expectNo(PollDiscovery.class);
    }

    /**
     * Guards against a limit below 1,000 on the servers that a node uses or on its outstanding
     * requests.
     */
    @Test
    void servers1024_areAllUsedAtOnce() {
        int serverCount = 1024;
        RouterDriver node =
                new RouterDriver(
                        new TestConfig()
                                .sockets(16 * serverCount)
                                .withEndpoints(
                                        IntStream.range(0, serverCount)
                                                .mapToObj(
                                                        i ->
                                                                endpointJson(
                                                                        "s-" + i,
                                                                        "10.0." + i / 256 + "."
                                                                                + i % 256 + ":80",
                                                                        "in_service"))
                                                .toArray(String[]::new)));
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 2 * serverCount; i++) {
            node.request("grant");
            ConnectUpstream connect = node.expect(ConnectUpstream.class);
            used.add(connect.address().toString());
            node.handle(new Event.UpstreamConnected(connect.connection()));
            node.written(node.expect(Forward.class));
        }
        assertEquals(serverCount, used.size());
    }

    private static NodeConfig discoveryAt(String address) {
        return new TestConfig().withAddresses("127.0.0.1:3000", address).build();
    }

    @Test
    void movedDiscovery_isPolledForTheCompleteListAtOnce() {
        RouterDriver node = watchingNode();
        PollDiscovery old = node.expect(PollDiscovery.class);
        node.handle(new Event.Reconfigured(discoveryAt("127.0.0.1:8600")));
        PollDiscovery call = node.expect(PollDiscovery.class);
        assertEquals(8600, call.address().port());
        assertTrue(
                call.afterVersion() < 0 && call.maxWaitMicros() == 0,
                "the poll waits but must be answered at once: " + call);
        // A late answer to the cancelled poll, or its failure, is ignored.
        node.handle(new Event.EndpointListReceived(old.poll(), EndpointList.EMPTY));
        node.handle(new Event.DiscoveryPollFailed(old.poll()));
        node.advanceMs(1900);
        node.expectNo(PollDiscovery.class);
        node.receiveList(3, true, TWO);
        assertEquals(3, node.expect(PollDiscovery.class).afterVersion());
        node.request("read");
        assertEquals(TWO_ADDRESS, node.expect(ConnectUpstream.class).address().toString());
    }

    @Test
    void moveDuringAPoll_sendsOnePoll() {
        RouterDriver node = watchingNode();
        node.expect(PollDiscovery.class);
        node.pollFailed();
        node.handle(new Event.Reconfigured(discoveryAt("127.0.0.1:8600")));
        node.expect(PollDiscovery.class);
        node.advanceMs(2000);
        node.expectNo(PollDiscovery.class);
    }

    @Test
    void unchangedAddressOfDiscovery_leavesTheWatchAlone() {
        RouterDriver node = watchingNode();
        node.expect(PollDiscovery.class);
        node.handle(new Event.Reconfigured(discoveryAt("127.0.0.1:8500")));
        node.expectNo(PollDiscovery.class);
    }

    @Test
    void changedSocketLimit_takesEffectAtOnce() {
        RouterDriver node = one();
        node.handle(new Event.Reconfigured(new TestConfig().sockets(1).build()));
        assertEquals(503, node.status(node.request("grant")));
        node.expectNo(ConnectUpstream.class);
    }
}
