// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ottergauge.protocol.TestConfig.endpointJson;

import org.junit.jupiter.api.Test;
import ottergauge.protocol.TestConfig;
import ottergauge.routing.Effect.ConnectUpstream;

class ConnectTimeoutEstimatorTest {

    private static final long MOST = 200_000;

    private static ConnectTimeoutEstimator used(int connections, long took) {
        ConnectTimeoutEstimator patience = new ConnectTimeoutEstimator(MOST);
        for (int i = 0; i < connections; i++) {
            patience.connected(took);
        }
        return patience;
    }

    @Test
    void timeout_beforeTheFirstConnection_isThatOfTheSettings() {
        assertEquals(MOST, new ConnectTimeoutEstimator(MOST).timeout());
    }

    /** At a machine that is cut off, a request lost 200 of its 140 ms waiting for a connection. */
    @Test
    void timeout_followsWhatConnectionsTake() {
        assertTrue(used(20, 1_000).timeout() <= MOST / 5);
        assertTrue(used(20, 15_000).timeout() > 30_000);
    }

    @Test
    void timeout_neverExceedsThatOfTheSettings() {
        assertEquals(MOST, used(20, 150_000).timeout());
    }

    /** Without it, connections that have become slow for good would all be given up. */
    @Test
    void timeout_growsWithFailuresInARow() {
        ConnectTimeoutEstimator patience = used(20, 1_000);
        long before = patience.timeout();
        for (int i = 0; i < 8; i++) {
            patience.failed(before);
        }
        assertTrue(patience.timeout() >= 2 * before);
        patience.connected(1_000);
        assertEquals((double) before, (double) patience.timeout(), before / 4.0);
    }

    @Test
    void timeout_ignoresConnectionsThatAreRefusedAtOnce() {
        ConnectTimeoutEstimator patience = used(20, 1_000);
        long before = patience.timeout();
        for (int i = 0; i < 100; i++) {
            patience.failed(500);
        }
        assertEquals(before, patience.timeout());
    }

    private static RouterDriver usedToQuickConnections() {
        RouterDriver node =
                new RouterDriver(
                        new TestConfig()
                                .withEndpoints(
                                        endpointJson("s-1", "10.0.0.1:80", "in_service"),
                                        endpointJson("s-2", "10.0.0.2:80", "in_service")));
        for (int i = 0; i < 8; i++) {
            long client = node.request("read");
            ConnectUpstream connect = node.expect(ConnectUpstream.class);
            node.advanceMs(1);
            node.handle(new Event.UpstreamConnected(connect.connection()));
            Effect.Forward forward = node.expect(Effect.Forward.class);
            node.written(forward);
            node.answer(forward, 200, false, false);
            node.status(client);
            node.expect(Effect.CloseUpstream.class);
        }
        return node;
    }

    @Test
    void request_doesNotWaitForAConnectionThatTakesFarLongerThanOthers() {
        RouterDriver node = usedToQuickConnections();
        node.request("read");
        ConnectUpstream slow = node.expect(ConnectUpstream.class);
        node.advanceMs(MOST / 1000 / 2);
        assertNotEquals(
                slow.address(),
                node.expect(ConnectUpstream.class).address(),
                "it goes to another server");
    }

    /**
     * Guards against handshakes for nothing: where a third of the connections came up late, each
     * was closed as it came up, and the next request had to wait for another one.
     */
    @Test
    void overdueConnection_isKeptAndServesTheNextRequest() {
        RouterDriver node = usedToQuickConnections();
        long client = node.request("grant");
        ConnectUpstream slow = node.expect(ConnectUpstream.class);
        while (!node.has(ConnectUpstream.class)) {
            node.advanceMs(1);
        }
        node.serve(node.connectNext());
        assertEquals(200, node.status(client));
        node.advanceMs(1500);
        node.handle(new Event.UpstreamConnected(slow.connection()));
        node.expectNo(Effect.Forward.class);
        node.expectNo(Effect.CloseUpstream.class);
        boolean used = false;
        for (int i = 0; i < 8; i++) {
            node.request("read");
            used |=
                    node.has(Effect.Forward.class)
                            && node.expect(Effect.Forward.class).connection() == slow.connection();
        }
        assertTrue(used, "it stands idle while others are opened");
    }

    // Whether requests come to that server now; those that come to the other one are served.
    private static boolean isTried(RouterDriver node, String host) {
        boolean tried = false;
        for (int i = 0; i < 6 && !tried; i++) {
            node.request("grant");
            if (node.has(ConnectUpstream.class)) {
                ConnectUpstream connect = node.expect(ConnectUpstream.class);
                tried = host.equals(connect.address().host());
                if (!tried) {
                    node.handle(new Event.UpstreamConnected(connect.connection()));
                }
            }
            while (node.has(Effect.Forward.class)) {
                node.serve(node.expect(Effect.Forward.class));
            }
        }
        return tried;
    }

    /**
     * Guards against live servers barred in turn, each for one connection that had not come up yet.
     */
    @Test
    void oneOverdueConnection_ejectsNoServerAndTwoDo() {
        RouterDriver node = usedToQuickConnections();
        node.request("grant");
        String host = node.expect(ConnectUpstream.class).address().host();
        while (!node.has(ConnectUpstream.class)) {
            node.advanceMs(1);
        }
        node.serve(node.connectNext());
        assertTrue(isTried(node, host), "barred for one");
        while (!node.has(Effect.Forward.class)) {
            node.advanceMs(1);
        }
        node.serve(node.expect(Effect.Forward.class));
        assertFalse(isTried(node, host), "used though several connections have not come up");
    }

    @Test
    void connectionsToAnUnreachableServer_arePartlyClosedEarly() {
        String server = endpointJson("s-1", "10.0.0.1:80", "in_service");
        RouterDriver node = new RouterDriver(new TestConfig().withEndpoints(server));
        int kept = 0;
        for (int i = 0; i < 20; i++) {
            node.request("grant");
            kept +=
                    node.has(ConnectUpstream.class)
                                    && node.expect(ConnectUpstream.class).timeoutMicros()
                                            > 1_000_000
                            ? 1
                            : 0;
            node.advanceMs(100);
        }
        assertTrue(kept > 0 && kept <= 3, kept + " are kept on their way");
    }
}
