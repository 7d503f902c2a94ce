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

    private static final long MAX_TIMEOUT = 200_000;

    private static ConnectTimeoutEstimator estimatorAfter(int connections, long elapsed) {
        ConnectTimeoutEstimator estimator = new ConnectTimeoutEstimator(MAX_TIMEOUT);
        for (int i = 0; i < connections; i++) {
            estimator.connected(elapsed);
        }
        return estimator;
    }

    @Test
    void timeout_beforeTheFirstConnection_isTheMaximumOfTheSettings() {
        assertEquals(MAX_TIMEOUT, new ConnectTimeoutEstimator(MAX_TIMEOUT).timeout());
    }

    /**
     * Guards against requests that time out while connecting: a request with a timeout of 140 ms
     * waited 200 ms for a connection to a machine without network.
     */
    @Test
    void timeout_followsWhatConnectionsTake() {
        assertTrue(estimatorAfter(20, 1_000).timeout() <= MAX_TIMEOUT / 5);
        assertTrue(estimatorAfter(20, 15_000).timeout() > 30_000);
    }

    @Test
    void timeout_neverExceedsTheMaximumOfTheSettings() {
        assertEquals(MAX_TIMEOUT, estimatorAfter(20, 150_000).timeout());
    }

    /**
     * Guards against a timeout that stays too short once connections take longer permanently: every
     * connection would time out.
     */
    @Test
    void timeout_growsWithFailuresInARow() {
        ConnectTimeoutEstimator estimator = estimatorAfter(20, 1_000);
        long before = estimator.timeout();
        for (int i = 0; i < 8; i++) {
            estimator.failed(before);
        }
        assertTrue(estimator.timeout() >= 2 * before);
        estimator.connected(1_000);
        assertEquals((double) before, (double) estimator.timeout(), before / 4.0);
    }

    @Test
    void timeout_ignoresConnectionsThatAreRefusedAtOnce() {
        ConnectTimeoutEstimator estimator = estimatorAfter(20, 1_000);
        long before = estimator.timeout();
        for (int i = 0; i < 100; i++) {
            estimator.failed(500);
        }
        assertEquals(before, estimator.timeout());
    }

    private static RouterDriver nodeWithFastConnections() {
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
        RouterDriver node = nodeWithFastConnections();
        node.request("read");
        ConnectUpstream slow = node.expect(ConnectUpstream.class);
        node.advanceMs(MAX_TIMEOUT / 1000 / 2);
        assertNotEquals(
                slow.address(),
                node.expect(ConnectUpstream.class).address(),
                "the request is sent to another server");
    }

    /**
     * Guards against wasted handshakes: when a third of the connections were established after the
     * timeout, the node closed each of them at once, and the next request had to wait for another
     * handshake.
     */
    @Test
    void overdueConnection_isKeptAndServesTheNextRequest() {
        RouterDriver node = nodeWithFastConnections();
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
        assertTrue(used, "the connection stays idle while others are opened");
    }

    // Returns whether the node sends a request to this server. Answers the requests that the node
    // sends to the other server.
    private static boolean receivesRequests(RouterDriver node, String host) {
        boolean received = false;
        for (int i = 0; i < 6 && !received; i++) {
            node.request("grant");
            if (node.has(ConnectUpstream.class)) {
                ConnectUpstream connect = node.expect(ConnectUpstream.class);
                received = host.equals(connect.address().host());
                if (!received) {
                    node.handle(new Event.UpstreamConnected(connect.connection()));
                }
            }
            while (node.has(Effect.Forward.class)) {
                node.serve(node.expect(Effect.Forward.class));
            }
        }
        return received;
    }

    /**
     * Guards against ejecting live servers one after another: a single connection that exceeds its
     * timeout must not eject its server.
     */
    @Test
    void oneOverdueConnection_ejectsNoServerAndTwoDo() {
        RouterDriver node = nodeWithFastConnections();
        node.request("grant");
        String host = node.expect(ConnectUpstream.class).address().host();
        while (!node.has(ConnectUpstream.class)) {
            node.advanceMs(1);
        }
        node.serve(node.connectNext());
        assertTrue(receivesRequests(node, host), "ejected for one overdue connection");
        while (!node.has(Effect.Forward.class)) {
            node.advanceMs(1);
        }
        node.serve(node.expect(Effect.Forward.class));
        assertFalse(
                receivesRequests(node, host),
                "not ejected although several connections are overdue");
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
        assertTrue(kept > 0 && kept <= 3, kept + " overdue connections are kept");
    }
}
