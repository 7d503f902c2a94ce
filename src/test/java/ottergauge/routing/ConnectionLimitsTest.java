// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ottergauge.protocol.TestConfig.endpointJson;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ottergauge.protocol.TestConfig;
import ottergauge.routing.Effect.CloseClient;
import ottergauge.routing.Effect.CloseUpstream;
import ottergauge.routing.Effect.ConnectUpstream;
import ottergauge.routing.Effect.Forward;
import ottergauge.routing.Effect.Respond;

/** Tests idle timeouts, slow clients and the limit on sockets. */
class ConnectionLimitsTest {

    private static final String ONE = endpointJson("s-1", "10.0.0.1:80", "in_service");

    private static RouterDriver one() {
        return new RouterDriver(new TestConfig().withEndpoints(ONE));
    }

    @Test
    void idleConnection_isClosedBeforeItsServerWould() {
        RouterDriver node = one();
        node.request("read");
        node.serve(node.connectNext());
        node.advanceMs(7000);
        node.expectNo(CloseUpstream.class);
        node.advanceMs(2000);
        assertEquals(CloseReason.IDLE, node.expect(CloseUpstream.class).reason());
    }

    @Test
    void idleClient_staysConnectedAndASilentOneIsClosedWithinThreeSeconds() {
        RouterDriver node = one();
        long client = node.request("read");
        node.serve(node.connectNext());
        node.status(client);
        long silent = node.client();
        node.advanceMs(2500);
        node.expectNo(CloseClient.class);
        node.advanceMs(400);
        assertEquals(new CloseClient(silent, CloseReason.SILENT), node.expect(CloseClient.class));
        node.expectNo(CloseClient.class);
        node.advanceMs(3000);
        assertEquals(new CloseClient(client, CloseReason.IDLE), node.expect(CloseClient.class));
    }

    @Test
    void incompleteFirstRequest_isClosedWithinThreeSecondsOfConnecting() {
        RouterDriver node = one();
        long client = node.client();
        node.advanceMs(1500);
        node.handle(new Event.RequestHeadReceived(client));
        node.advanceMs(1400);
        assertEquals(
                new CloseClient(client, CloseReason.SLOW_REQUEST), node.expect(CloseClient.class));
    }

    @Test
    void responseThatIsNotRead_isAbandoned() {
        RouterDriver node = one();
        long client = node.request("read");
        node.serve(node.connectNext());
        node.expect(Respond.class);
        node.advanceMs(2300);
        assertEquals(
                new CloseClient(client, CloseReason.SLOW_ANSWER), node.expect(CloseClient.class));
    }

    @Test
    void request_lastsAsLongAsItsOwnTimeout() {
        RouterDriver node = new RouterDriver(new TestConfig().withEndpoints(ONE));
        node.request("read");
        node.connectNext();
        node.advanceMs(500);
        node.expectNo(CloseClient.class);
    }

    @Test
    void socketShortage_closesTheLongestIdleClientFirstThenAServersConnection() {
        RouterDriver node = new RouterDriver(new TestConfig().withEndpoints(ONE).sockets(64 + 4));
        long first = node.request("read");
        node.serve(node.connectNext());
        node.status(first);
        node.advanceMs(300);
        long second = node.client();
        node.expectNo(CloseClient.class);
        node.request(second, "read", 1000);
        Forward forward = node.expect(Forward.class);
        long third = node.client();
        assertEquals(
                new CloseClient(first, CloseReason.SOCKETS_SHORT), node.expect(CloseClient.class));
        node.serve(forward);
        assertEquals(200, node.status(second));
        node.advanceMs(300);
        node.request(third, "pay", 1000);
        node.serve(node.expect(Forward.class));
        assertEquals(200, node.status(third));
        node.handle(new Event.Reconfigured(new TestConfig().sockets(64 + 2).build()));
        node.client();
        assertEquals(CloseReason.SOCKETS_SHORT, node.expect(CloseClient.class).reason());
        assertEquals(CloseReason.SOCKETS_SHORT, node.expect(CloseClient.class).reason());
    }

    @Test
    void socketShortage_closesAServersConnectionBeforeARecentClient() {
        RouterDriver node = new RouterDriver(new TestConfig().withEndpoints(ONE).sockets(64 + 3));
        long first = node.request("read");
        node.serve(node.connectNext());
        node.status(first);
        node.client();
        node.expectNo(CloseUpstream.class);
        node.handle(new Event.ClientClosed(first));
        node.client();
        node.expectNo(CloseClient.class);
        node.expectNo(CloseUpstream.class);
        node.handle(new Event.Reconfigured(new TestConfig().sockets(64 + 2).build()));
        node.request("grant");
        assertEquals(CloseReason.SOCKETS_SHORT, node.expect(CloseClient.class).reason());
    }

    @Test
    void clients_neverUseAllSocketsAndAreAcceptedUpToALimit() {
        RouterDriver node = new RouterDriver(new TestConfig().withEndpoints(ONE).sockets(64 + 30));
        assertEquals(20 + 16, node.expect(Effect.AcceptUpTo.class).connections());
        for (int i = 0; i < 20; i++) {
            node.client();
        }
        node.expectNo(CloseClient.class);
        node.client();
        assertEquals(new CloseClient(1, CloseReason.SOCKETS_SHORT), node.expect(CloseClient.class));
    }

    /**
     * Guards against a crowd of clients that stop in the middle of a request: new clients would be
     * closed at once, and complete requests rejected for want of a connection to a server.
     */
    @Test
    void unfinishedRequests_giveWayToNewClientsAndCompleteRequests() {
        RouterDriver node = new RouterDriver(new TestConfig().withEndpoints(ONE).sockets(64 + 30));
        for (int i = 0; i < 20; i++) {
            long slow = node.client();
            if (i % 2 == 0) {
                node.handle(new Event.RequestHeadStarted(slow));
            } else {
                node.handle(new Event.RequestHeadReceived(slow));
            }
            node.advanceMs(1);
        }
        node.expectNo(CloseClient.class);
        long other = node.request("read");
        assertEquals(new CloseClient(1, CloseReason.SOCKETS_SHORT), node.expect(CloseClient.class));
        node.serve(node.connectNext());
        assertEquals(200, node.status(other));
        node.handle(new Event.Reconfigured(new TestConfig().sockets(64 + 15).build()));
        node.request(other, "pay", 1000);
        node.expect(Forward.class);
        node.request("grant");
        assertEquals(new CloseClient(2, CloseReason.SOCKETS_SHORT), node.expect(CloseClient.class));
        node.connectNext();
    }

    /**
     * Guards against a node that runs out of memory for bodies that are not complete: its limit is
     * 192 MB, an eighth of it is for buffers, and half as much beside another process of the node.
     */
    @ParameterizedTest
    @CsvSource({"false,384", "true,192"})
    void buffersOverTheirBudget_giveWayInTheOrderOfTheirArrival(boolean shared, int bodies) {
        RouterDriver node = new RouterDriver(new TestConfig().withEndpoints(ONE));
        node.handle(new Event.HotRestartPeerSeen(shared, 0));
        for (int i = 0; i < bodies; i++) {
            buffering(node, 64 << 10);
            node.advanceMs(1);
        }
        node.expectNo(Respond.class);
        long small = node.request("grant");
        node.serve(node.connectNext());
        assertEquals(200, node.status(small));
        buffering(node, 64 << 10);
        Respond rejected = node.expect(Respond.class);
        assertEquals(1, rejected.client());
        assertEquals(503, rejected.status());
        assertTrue(rejected.retryAfterMicros() > 0);
        assertTrue(rejected.closeAfter());
        node.handle(new Event.ClientClosed(2));
        buffering(node, 64 << 10);
        node.expectNo(Respond.class);
    }

    private static void buffering(RouterDriver node, long bytes) {
        long client = node.client();
        node.handle(new Event.RequestHeadReceived(client));
        node.handle(new Event.BodyBufferGrown(client, bytes / 2));
        node.handle(new Event.BodyBufferGrown(client, bytes));
    }

    @Test
    void noSocketAvailable_rejectsTheRequest() {
        RouterDriver node =
                new RouterDriver(
                        new TestConfig().withEndpoints(ONE).sockets(64 + 1).withMaxAttempts(1));
        long client = node.request("grant");
        node.expectNo(ConnectUpstream.class);
        assertEquals(503, node.status(client));
    }
}
