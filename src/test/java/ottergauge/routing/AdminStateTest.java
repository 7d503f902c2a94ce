// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ottergauge.protocol.TestConfig.endpointJson;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ottergauge.decision.api.EndpointState;
import ottergauge.decision.api.EndpointStatus;
import ottergauge.protocol.Address;
import ottergauge.protocol.DiscoveredEndpoint;
import ottergauge.protocol.EndpointList;
import ottergauge.protocol.TestConfig;
import ottergauge.routing.Effect.ClearMaintenance;
import ottergauge.routing.Effect.ConnectUpstream;
import ottergauge.routing.Effect.Forward;
import ottergauge.routing.Effect.RespondToAdmin;
import ottergauge.routing.Effect.StoreMaintenance;

/** Tests the node's responses to operators' admin requests, without sockets. */
class AdminStateTest {

    private static final String ONE = endpointJson("s-1", "10.1.0.1:3000", "in_service");
    private static final String TWO = endpointJson("s-2", "10.1.0.2:3000", "in_service");
    private static final Address FIRST = new Address("10.1.0.1", 3000);

    private final RouterDriver node = new RouterDriver(new TestConfig().withEndpoints(ONE, TWO));
    private long lastConnection;

    private RespondToAdmin send(AdminRequest adminRequest) {
        node.handle(new Event.AdminRequestReceived(++lastConnection, adminRequest));
        RespondToAdmin response = node.expect(RespondToAdmin.class);
        assertEquals(lastConnection, response.connection());
        return response;
    }

    private long metric(String name) {
        return send(new AdminRequest.Stats())
                .text()
                .lines()
                .filter(line -> line.startsWith("balancer." + name + "="))
                .mapToLong(line -> Long.parseLong(line.substring(line.indexOf('=') + 1)))
                .sum();
    }

    private boolean isUsed(Address server, int requests) {
        boolean used = false;
        for (int i = 0; i < requests; i++) {
            node.request("read");
            ConnectUpstream connect = node.expect(ConnectUpstream.class);
            used |= connect.address().equals(server);
            node.handle(new Event.UpstreamConnected(connect.connection()));
            Forward forward = node.expect(Forward.class);
            node.written(forward);
            // The server's response makes the connection not reusable. Each request therefore opens
            // a new connection, whose address shows the chosen server.
            node.answer(forward, 200, false, false);
        }
        return used;
    }

    /**
     * Guards against requests to a server that an operator has put into maintenance. The node
     * treats the server as draining from its 200 response on, whatever state discovery lists. One
     * request to end the maintenance is enough after two requests to start it.
     */
    @Test
    void serverInMaintenance_receivesNoRequestsUntilItIsReenabled() {
        assertTrue(isUsed(FIRST, 8));
        assertEquals(200, send(new AdminRequest.StartMaintenance("s-1")).status());
        assertEquals("s-1", node.expect(StoreMaintenance.class).server());
        assertEquals(200, send(new AdminRequest.StartMaintenance("s-1")).status());
        assertEquals(false, isUsed(FIRST, 8));
        node.receiveList(42, true, ONE, TWO);
        assertEquals(false, isUsed(FIRST, 8));
        node.receiveList(43, true, TWO);
        assertEquals(1, metric("members"));
        node.receiveList(44, true, ONE, TWO);
        assertEquals(false, isUsed(FIRST, 8));
        assertEquals(2, metric("members"));
        assertEquals(1, metric("members_unavailable"));
        assertEquals(200, send(new AdminRequest.EndMaintenance("s-1")).status());
        assertEquals("s-1", node.expect(ClearMaintenance.class).server());
        node.advanceMs(1000);
        assertTrue(isUsed(FIRST, 8));
        assertEquals(0, metric("members_unavailable"));
    }

    /**
     * Guards against an attempt that fails because its server restarts after maintenance has
     * started. The node moves an attempt that waits for a connection to another server, and closes
     * idle connections to the server, including a connection that is established later.
     */
    @Test
    void attemptWaitingForAServerPutIntoMaintenance_isSentToAnother() {
        node.request("grant");
        ConnectUpstream connect = node.expect(ConnectUpstream.class);
        String drained = connect.address().equals(FIRST) ? "s-1" : "s-2";
        assertEquals(200, send(new AdminRequest.StartMaintenance(drained)).status());
        assertTrue(!node.expect(ConnectUpstream.class).address().equals(connect.address()));
        node.handle(new Event.UpstreamConnected(connect.connection()));
        assertEquals(connect.connection(), node.expect(Effect.CloseUpstream.class).connection());
        node.expectNo(Forward.class);
    }

    @Test
    void maintenanceOfUnknownServer_isNotFound() {
        assertEquals(404, send(new AdminRequest.StartMaintenance("s-9")).status());
        assertEquals(404, send(new AdminRequest.EndMaintenance("../s-1")).status());
        node.expectNo(StoreMaintenance.class);
    }

    /**
     * During a hot restart the node has two processes. Either of them may receive the operator's
     * request and store it; the other process then loads it.
     */
    @Test
    void maintenanceStoredByAnotherProcess_isApplied() {
        node.handle(new Event.MaintenanceLoaded(Map.of("s-1", 5L)));
        assertEquals(false, isUsed(FIRST, 8));
        node.expectNo(StoreMaintenance.class);
        node.handle(new Event.MaintenanceLoaded(Map.of()));
        node.advanceMs(1000);
        assertTrue(isUsed(FIRST, 8));
    }

    /**
     * Guards against an outage during a hot restart: a successful health response is the signal to
     * stop the previous process, so the new process must not send it before it can serve.
     */
    @Test
    void health_isUnavailableBeforeServingAndAfterShutdown() {
        RouterDriver starting = new RouterDriver(new TestConfig(), false);
        starting.handle(new Event.AdminRequestReceived(1, new AdminRequest.Health()));
        assertEquals(503, starting.expect(RespondToAdmin.class).status());
        assertEquals(200, send(new AdminRequest.Health()).status());
        node.handle(new Event.ShutdownRequested(true));
        assertEquals(503, send(new AdminRequest.Health()).status());
    }

    /**
     * Guards against a restarted server that skips slow start: the list still contains the previous
     * start time when the operator ends the maintenance, so the server would count as warmed up.
     * The node therefore uses the time at which maintenance ended.
     */
    @Test
    void reenabledServer_countsAsStartedWhenItWasReenabled() {
        EndpointRegistry registry = new EndpointRegistry(9_000_000);
        registry.apply(1_000_000, list(500));
        registry.startMaintenance("s-1", 2_000_000);
        assertEquals(
                3_000, registry.endMaintenance(3_000_000, "s-1").endpoints().get(0).startedAtMs());
        assertEquals(3_000, registry.apply(4_000_000, list(500)).endpoints().get(0).startedAtMs());
        assertEquals(
                2_400, registry.apply(5_000_000, list(2_400)).endpoints().get(0).startedAtMs());
        assertEquals(500, registry.apply(12_000_001, list(500)).endpoints().get(0).startedAtMs());
    }

    private static EndpointList list(long bornMs) {
        return new EndpointList(
                1,
                true,
                List.of(
                        new DiscoveredEndpoint(
                                "s-1", FIRST, "a", "m1", 0, EndpointState.UP, 1, bornMs)));
    }

    /**
     * The node counts each request under exactly one outcome. It counts a request whose client has
     * disconnected under no outcome.
     */
    @Test
    void metrics_countEachRequestOnce() {
        node.serve(node.forwardOnNewConnection("read"));
        Forward failing = node.forwardOnNewConnection("grant");
        assertEquals(1, metric("pending"));
        node.written(failing);
        node.answer(failing, 500, false);
        long disconnected = node.request("pay");
        node.handle(new Event.ClientClosed(disconnected));
        node.handle(new Event.ClientClosed(disconnected));
        assertEquals(0, metric("pending"));
        assertEquals(1, metric("completed.read"));
        assertEquals(1, metric("failed.grant"));
        assertEquals(0, metric("failed.pay") + metric("rejected.pay") + metric("completed.pay"));
        assertEquals(2, metric("upstream_requests"));
    }

    /**
     * Guards against lost requests during a hot restart. While the other process of the node
     * accepts new clients, a connected client may still send a request, so this process closes each
     * connection only after the next response or shortly before it exits.
     */
    @Test
    void handover_answersWhatConnectedClientsStillSend() {
        long idle = node.client();
        long active = node.client();
        node.request(active, "read", 1000);
        node.serve(node.connectNext());
        assertEquals(200, node.status(active));
        node.handle(new Event.ShutdownRequested(true));
        node.expect(Effect.StopAccepting.class);
        node.advanceMs(900);
        node.expectNo(Effect.CloseClient.class);
        node.request(active, "read", 1000);
        Forward forward = node.connectNext();
        assertTrue(
                forward.timeoutMicros() <= 600_000, "the deadline is before the process is killed");
        node.written(forward);
        node.answer(forward, 200, false);
        assertTrue(node.expect(Effect.Respond.class).closeAfter());
        node.handle(new Event.ClientClosed(active));
        node.advanceMs(250);
        assertEquals(idle, node.expect(Effect.CloseClient.class).client());
        node.expect(Effect.Exit.class);
    }

    /**
     * Guards against running out of file descriptors during a hot restart: the node's two processes
     * share one limit, so each process subtracts the connections that the other one reports.
     */
    @Test
    void hotRestartPeer_reducesTheSocketBudget() {
        int limitAlone = node.expect(Effect.AcceptUpTo.class).connections();
        assertTrue(limitWithPeer(true, 0) < limitAlone);
        assertTrue(limitWithPeer(true, 400) < limitWithPeer(true, 100));
        assertTrue(
                limitWithPeer(true, 100_000) > limitAlone / 3,
                "at least half is available, however many the other process reports");
        assertEquals(limitAlone, limitWithPeer(false, 0));
    }

    private int limitWithPeer(boolean peerPresent, int connections) {
        node.handle(new Event.HotRestartPeerSeen(peerPresent, connections));
        return node.expect(Effect.AcceptUpTo.class).connections();
    }

    /** Operators' tools read these metric names; docs/operations.md lists them. */
    @ParameterizedTest
    @CsvSource({"ACTIVE,used", "DRAINING,draining", "EJECTED,barred", "UNRESPONSIVE,mute"})
    void servers_namesEachStatusAsTheOperationsPageDoes(EndpointStatus status, String expected) {
        EndpointRegistry registry = new EndpointRegistry(0);
        registry.apply(0, new TestConfig().withEndpoints(ONE).build().knownEndpoints());
        List<Effect> effects = new ArrayList<>();
        AdminState admin =
                new AdminState(
                        new Metrics(List.of()),
                        registry,
                        name -> status,
                        changes -> {},
                        effects::add);
        admin.handle(0, true, 7, new AdminRequest.Servers());
        assertEquals(List.of(new RespondToAdmin(7, 200, "s-1 " + expected + "\n")), effects);
    }
}
