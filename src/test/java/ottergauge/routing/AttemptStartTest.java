// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static ottergauge.protocol.TestConfig.endpointJson;
import static ottergauge.protocol.TestConfig.endpointStartedAt;

import org.junit.jupiter.api.Test;
import ottergauge.protocol.TestConfig;
import ottergauge.routing.Effect.CloseUpstream;
import ottergauge.routing.Effect.ConnectUpstream;
import ottergauge.routing.Effect.Forward;
import ottergauge.routing.Effect.ProbeLoad;

/**
 * What comes between the choice of a server and the first byte to it: a client that leaves, a list,
 * the end of the request's time, the end of the connection. None of them may be found out after
 * that byte.
 */
class AttemptStartTest {

    private static final String ONE = endpointJson("s-1", "10.0.0.1:80", "in_service");
    private static final String TWO = endpointJson("s-2", "10.0.0.2:80", "in_service");

    private static RouterDriver one() {
        return new RouterDriver(new TestConfig().withEndpoints(ONE));
    }

    // A node with one connection at rest to its only server.
    private static RouterDriver rested(TestConfig config) {
        RouterDriver node = new RouterDriver(config);
        long client = node.request("read");
        node.serve(node.connectNext());
        node.status(client);
        return node;
    }

    /**
     * Guards against attempts for clients that have left: the FIN was read in the same round as the
     * list.
     */
    @Test
    void clientGoneBeforeFirstByte_isNotForwardedAndItsConnectionServesTheNext() {
        RouterDriver node = one();
        long gone = node.request("grant");
        ConnectUpstream connect = node.expect(ConnectUpstream.class);
        node.holdPendingReads();
        node.handle(new Event.UpstreamConnected(connect.connection()));
        node.handle(new Event.ClientClosed(gone));
        node.releasePendingReads();
        node.expectNo(Forward.class);
        node.expectNo(CloseUpstream.class);
        node.request("grant");
        assertEquals(connect.connection(), node.expect(Forward.class).connection());
    }

    /** Guards against the same where the settings do not let an attempt be taken back. */
    @Test
    void clientGoneWhileConnecting_isNotForwardedEvenWithoutCancellation() {
        RouterDriver node =
                new RouterDriver(new TestConfig().withoutCancellation().withEndpoints(ONE));
        long gone = node.request("grant");
        ConnectUpstream connect = node.expect(ConnectUpstream.class);
        node.handle(new Event.ClientClosed(gone));
        node.handle(new Event.UpstreamConnected(connect.connection()));
        node.expectNo(Forward.class);
        node.request("grant");
        assertEquals(connect.connection(), node.expect(Forward.class).connection());
    }

    /** Guards against a request to a server whose drain was read in the same round. */
    @Test
    void serverDrainingBeforeFirstByte_getsNothing() {
        RouterDriver node = new RouterDriver(new TestConfig().withEndpoints(ONE, TWO));
        node.advanceMs(200);
        node.request("grant");
        ConnectUpstream connect = node.expect(ConnectUpstream.class);
        String chosen = connect.address().host();
        node.holdPendingReads();
        node.handle(new Event.UpstreamConnected(connect.connection()));
        node.receiveList(
                42,
                false,
                endpointJson(
                        "10.0.0.1".equals(chosen) ? "s-1" : "s-2", chosen + ":80", "terminating"));
        node.releasePendingReads();
        node.expectNo(Forward.class);
        assertNotEquals(
                chosen,
                node.expect(ConnectUpstream.class).address().host(),
                "it goes to the other server");
    }

    @Test
    void deadlineBeforeFirstByte_isAnsweredAndNotSent() {
        RouterDriver node = rested(new TestConfig().withEndpoints(ONE));
        node.holdPendingReads();
        long client = node.request("grant");
        node.suspendMs(1000);
        node.releasePendingReads();
        node.expectNo(Forward.class);
        assertEquals(503, node.status(client));
    }

    /**
     * Guards against a connection's end being taken for its server's, with nothing written to it.
     */
    @Test
    void connectionClosedBeforeFirstByte_isReplacedAndSaysNothingOfItsServer() {
        RouterDriver node = rested(new TestConfig().withEndpoints(ONE));
        node.holdPendingReads();
        long client = node.request("grant");
        long kept = 1;
        node.handle(new Event.UpstreamClosed(kept, false));
        node.releasePendingReads();
        node.serve(node.connectNext());
        assertEquals(200, node.status(client));
    }

    /**
     * Guards against requests by a list from before the node stood still: servers have left since.
     */
    @Test
    void suspendedNode_sendsNothingBeforeItsListIsCurrent() {
        RouterDriver node = rested(new TestConfig().withEndpoints(ONE));
        node.receiveList(41, false);
        node.suspendMs(7_000);
        assertEquals(503, node.status(node.request("grant")));
        node.expectNo(Forward.class);
        node.receiveList(41, false);
        node.request("grant");
        node.expect(Forward.class);
    }

    /** While discovery is away the list in force is the best there is, however old. */
    @Test
    void unreachableDiscovery_leavesTheLastListEffective() {
        RouterDriver node = rested(new TestConfig().withEndpoints(ONE));
        node.pollFailed();
        node.suspendMs(60_000);
        node.request("grant");
        node.expect(Forward.class);
    }

    /** Guards against a cold server getting what was chosen for the warm one that it was before. */
    @Test
    void restartedServer_getsNothingThatWaitedForTheProcessBefore() {
        RouterDriver node = new RouterDriver(new TestConfig().withEndpoints(ONE));
        node.advanceMs(200);
        for (int i = 0; i < 20; i++) {
            node.request("grant");
        }
        ConnectUpstream connect = node.expect(ConnectUpstream.class);
        node.receiveList(42, false, endpointStartedAt("s-1", "10.0.0.1:80", node.nowMs()));
        node.handle(new Event.UpstreamConnected(connect.connection()));
        node.expectNo(Forward.class);
        assertEquals(connect.connection(), node.expect(CloseUpstream.class).connection());
    }

    /**
     * Guards against sends to a cold server that were counted in one span and come in another, at
     * once.
     */
    @Test
    void serverInSlowStart_getsNothingThatHasWaitedForLong() {
        RouterDriver node =
                new RouterDriver(
                        new TestConfig()
                                .withEndpoints(
                                        endpointStartedAt("s-1", "10.0.0.1:80", 999_992_000L)));
        node.request("grant");
        ConnectUpstream connect = node.expect(ConnectUpstream.class);
        node.suspendMs(300);
        node.handle(new Event.UpstreamConnected(connect.connection()));
        node.expectNo(Forward.class);
    }

    @Test
    void probeOfADrainingServer_isNotSent() {
        RouterDriver node = new RouterDriver(new TestConfig().probes().withEndpoints(ONE, TWO));
        node.advanceMs(200);
        node.request("read");
        ConnectUpstream connect = node.expect(ConnectUpstream.class);
        String chosen = connect.address().host();
        node.holdPendingReads();
        node.handle(new Event.UpstreamConnected(connect.connection()));
        node.receiveList(
                42,
                false,
                endpointJson(
                        "10.0.0.1".equals(chosen) ? "s-1" : "s-2", chosen + ":80", "terminating"));
        node.releasePendingReads();
        node.expectNo(ProbeLoad.class);
    }
}
