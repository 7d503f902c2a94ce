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
 * Events between the choice of a server and the first byte that is written to it: the client
 * disconnects, an endpoint list arrives, the request's deadline expires, or the connection ends.
 * The node must notice each of them before it writes that byte.
 */
class AttemptStartTest {

    private static final String ONE = endpointJson("s-1", "10.0.0.1:80", "in_service");
    private static final String TWO = endpointJson("s-2", "10.0.0.2:80", "in_service");

    private static RouterDriver one() {
        return new RouterDriver(new TestConfig().withEndpoints(ONE));
    }

    // A node with one idle connection to its only server.
    private static RouterDriver nodeWithIdleConnection(TestConfig config) {
        RouterDriver node = new RouterDriver(config);
        long client = node.request("read");
        node.serve(node.connectNext());
        node.status(client);
        return node;
    }

    /**
     * Guards against an attempt for a client that has disconnected: the event loop reads the
     * client's FIN in the iteration in which the connection to the server is established.
     */
    @Test
    void clientDisconnectedBeforeFirstByte_isNotForwardedAndTheConnectionServesTheNext() {
        RouterDriver node = one();
        long disconnected = node.request("grant");
        ConnectUpstream connect = node.expect(ConnectUpstream.class);
        node.holdPendingReads();
        node.handle(new Event.UpstreamConnected(connect.connection()));
        node.handle(new Event.ClientClosed(disconnected));
        node.releasePendingReads();
        node.expectNo(Forward.class);
        node.expectNo(CloseUpstream.class);
        node.request("grant");
        assertEquals(connect.connection(), node.expect(Forward.class).connection());
    }

    /**
     * Guards against an attempt for a disconnected client when the settings do not allow the node
     * to cancel attempts.
     */
    @Test
    void clientDisconnectedWhileConnecting_isNotForwardedEvenWithoutCancellation() {
        RouterDriver node =
                new RouterDriver(new TestConfig().withoutCancellation().withEndpoints(ONE));
        long disconnected = node.request("grant");
        ConnectUpstream connect = node.expect(ConnectUpstream.class);
        node.handle(new Event.ClientClosed(disconnected));
        node.handle(new Event.UpstreamConnected(connect.connection()));
        node.expectNo(Forward.class);
        node.request("grant");
        assertEquals(connect.connection(), node.expect(Forward.class).connection());
    }

    /**
     * Guards against a request to a draining server: the event loop reads the list with the new
     * state in the iteration in which the connection to the server is established.
     */
    @Test
    void serverDrainingBeforeFirstByte_receivesNoRequest() {
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
                "the request is sent to the other server");
    }

    @Test
    void deadlineBeforeFirstByte_isAnsweredWithoutForwarding() {
        RouterDriver node = nodeWithIdleConnection(new TestConfig().withEndpoints(ONE));
        node.holdPendingReads();
        long client = node.request("grant");
        node.suspendMs(1000);
        node.releasePendingReads();
        node.expectNo(Forward.class);
        assertEquals(503, node.status(client));
    }

    /**
     * Guards against counting a closed connection as a failure of its server although the node
     * wrote nothing to it.
     */
    @Test
    void connectionClosedBeforeFirstByte_isReplacedAndDoesNotCountAgainstItsServer() {
        RouterDriver node = nodeWithIdleConnection(new TestConfig().withEndpoints(ONE));
        node.holdPendingReads();
        long client = node.request("grant");
        long idleConnection = 1;
        node.handle(new Event.UpstreamClosed(idleConnection, false));
        node.releasePendingReads();
        node.serve(node.connectNext());
        assertEquals(200, node.status(client));
    }

    /**
     * Guards against requests to removed servers: a node that was suspended for 7 s must not use
     * its list before discovery has answered again.
     */
    @Test
    void suspendedNode_sendsNothingBeforeItsListIsCurrent() {
        RouterDriver node = nodeWithIdleConnection(new TestConfig().withEndpoints(ONE));
        node.receiveList(41, false);
        node.suspendMs(7_000);
        assertEquals(503, node.status(node.request("grant")));
        node.expectNo(Forward.class);
        node.receiveList(41, false);
        node.request("grant");
        node.expect(Forward.class);
    }

    /** While discovery is unreachable, the node uses its last list, however old that list is. */
    @Test
    void unreachableDiscovery_leavesTheLastListEffective() {
        RouterDriver node = nodeWithIdleConnection(new TestConfig().withEndpoints(ONE));
        node.pollFailed();
        node.suspendMs(60_000);
        node.request("grant");
        node.expect(Forward.class);
    }

    /**
     * Guards against overloading a restarted server: the node chose it for many attempts while its
     * previous process was warmed up, and they all waited for a connection. The new process is in
     * slow start and must not receive them.
     */
    @Test
    void restartedServer_receivesNoAttemptThatWaitedForItsPreviousProcess() {
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
     * Guards against a burst of requests to a server in slow start. The node counts an attempt in
     * the period in which it chooses the server. Attempts of several periods that wait for
     * connections would otherwise all be sent in one later period.
     */
    @Test
    void serverInSlowStart_receivesNoAttemptThatHasWaitedForLong() {
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
