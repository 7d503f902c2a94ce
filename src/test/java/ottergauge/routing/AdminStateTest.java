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

/** What operators ask at the door, with no socket. */
class AdminStateTest {

    private static final String ONE = endpointJson("s-1", "10.1.0.1:3000", "in_service");
    private static final String TWO = endpointJson("s-2", "10.1.0.2:3000", "in_service");
    private static final Address FIRST = new Address("10.1.0.1", 3000);

    private final RouterDriver node = new RouterDriver(new TestConfig().withEndpoints(ONE, TWO));
    private long lastCaller;

    private RespondToAdmin ask(AdminRequest call) {
        node.handle(new Event.AdminRequestReceived(++lastCaller, call));
        RespondToAdmin told = node.expect(RespondToAdmin.class);
        assertEquals(lastCaller, told.connection());
        return told;
    }

    private long figure(String name) {
        return ask(new AdminRequest.Stats())
                .text()
                .lines()
                .filter(line -> line.startsWith("balancer." + name + "="))
                .mapToLong(line -> Long.parseLong(line.substring(line.indexOf('=') + 1)))
                .sum();
    }

    private boolean uses(Address server, int requests) {
        boolean any = false;
        for (int i = 0; i < requests; i++) {
            node.request("read");
            ConnectUpstream connect = node.expect(ConnectUpstream.class);
            any |= connect.address().equals(server);
            node.handle(new Event.UpstreamConnected(connect.connection()));
            Forward forward = node.expect(Forward.class);
            node.written(forward);
            // Not kept, so that each request shows by its connection where it goes.
            node.answer(forward, 200, false, false);
        }
        return any;
    }

    /**
     * From the yes on it drains, whatever the list says of it; one call back undoes two calls out.
     */
    @Test
    void serverInMaintenance_getsNothingUntilItIsReenabled() {
        assertTrue(uses(FIRST, 8));
        assertEquals(200, ask(new AdminRequest.StartMaintenance("s-1")).status());
        assertEquals("s-1", node.expect(StoreMaintenance.class).server());
        assertEquals(200, ask(new AdminRequest.StartMaintenance("s-1")).status());
        assertEquals(false, uses(FIRST, 8));
        node.receiveList(42, true, ONE, TWO);
        assertEquals(false, uses(FIRST, 8));
        node.receiveList(43, true, TWO);
        assertEquals(1, figure("members"));
        node.receiveList(44, true, ONE, TWO);
        assertEquals(false, uses(FIRST, 8));
        assertEquals(2, figure("members"));
        assertEquals(1, figure("members_unavailable"));
        assertEquals(200, ask(new AdminRequest.EndMaintenance("s-1")).status());
        assertEquals("s-1", node.expect(ClearMaintenance.class).server());
        node.advanceMs(1000);
        assertTrue(uses(FIRST, 8));
        assertEquals(0, figure("members_unavailable"));
    }

    /**
     * What waits for a connection to it goes elsewhere, and idle connections end: it is going to
     * restart.
     */
    @Test
    void attemptWaitingForAServerPutIntoMaintenance_isSentToAnother() {
        node.request("grant");
        ConnectUpstream connect = node.expect(ConnectUpstream.class);
        String held = connect.address().equals(FIRST) ? "s-1" : "s-2";
        assertEquals(200, ask(new AdminRequest.StartMaintenance(held)).status());
        assertTrue(!node.expect(ConnectUpstream.class).address().equals(connect.address()));
        node.handle(new Event.UpstreamConnected(connect.connection()));
        assertEquals(connect.connection(), node.expect(Effect.CloseUpstream.class).connection());
        node.expectNo(Forward.class);
    }

    @Test
    void maintenanceOfUnknownServer_isNotFound() {
        assertEquals(404, ask(new AdminRequest.StartMaintenance("s-9")).status());
        assertEquals(404, ask(new AdminRequest.EndMaintenance("../s-1")).status());
        node.expectNo(StoreMaintenance.class);
    }

    /** The other process of an upgrade may be the one that is called. */
    @Test
    void maintenanceStoredByAnotherProcess_isApplied() {
        node.handle(new Event.MaintenanceLoaded(Map.of("s-1", 5L)));
        assertEquals(false, uses(FIRST, 8));
        node.expectNo(StoreMaintenance.class);
        node.handle(new Event.MaintenanceLoaded(Map.of()));
        node.advanceMs(1000);
        assertTrue(uses(FIRST, 8));
    }

    /** A yes is the sign to stop the process before this one: it must not come too soon. */
    @Test
    void health_isUnavailableBeforeServingAndAfterShutdown() {
        RouterDriver starting = new RouterDriver(new TestConfig(), false);
        starting.handle(new Event.AdminRequestReceived(1, new AdminRequest.Health()));
        assertEquals(503, starting.expect(RespondToAdmin.class).status());
        assertEquals(200, ask(new AdminRequest.Health()).status());
        node.handle(new Event.ShutdownRequested(true));
        assertEquals(503, ask(new AdminRequest.Health()).status());
    }

    /** Its list is late: without the moment of its return a restarted server counted as warm. */
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

    /** Each request ends under one count, and what its client left under none. */
    @Test
    void metrics_countEachRequestOnce() {
        node.serve(node.forwardOnNewConnection("read"));
        Forward failing = node.forwardOnNewConnection("grant");
        assertEquals(1, figure("pending"));
        node.written(failing);
        node.answer(failing, 500, false);
        long leaver = node.request("pay");
        node.handle(new Event.ClientClosed(leaver));
        node.handle(new Event.ClientClosed(leaver));
        assertEquals(0, figure("pending"));
        assertEquals(1, figure("completed.read"));
        assertEquals(1, figure("failed.grant"));
        assertEquals(0, figure("failed.pay") + figure("rejected.pay") + figure("completed.pay"));
        assertEquals(2, figure("upstream_requests"));
    }

    /**
     * With another process taking clients none is closed while it may ask; each ends with its
     * answer.
     */
    @Test
    void handover_answersWhatConnectedClientsStillSend() {
        long idle = node.client();
        long asks = node.client();
        node.request(asks, "read", 1000);
        node.serve(node.connectNext());
        assertEquals(200, node.status(asks));
        node.handle(new Event.ShutdownRequested(true));
        node.expect(Effect.StopAccepting.class);
        node.advanceMs(900);
        node.expectNo(Effect.CloseClient.class);
        node.request(asks, "read", 1000);
        Forward forward = node.connectNext();
        assertTrue(forward.timeoutMicros() <= 600_000, "it ends before the kill");
        node.written(forward);
        node.answer(forward, 200, false);
        assertTrue(node.expect(Effect.Respond.class).closeAfter());
        node.handle(new Event.ClientClosed(asks));
        node.advanceMs(250);
        assertEquals(idle, node.expect(Effect.CloseClient.class).client());
        node.expect(Effect.Exit.class);
    }

    /** Two processes have the node's descriptors together: what one uses the other does not. */
    @Test
    void hotRestartPeer_reducesTheSocketBudget() {
        int alone = node.expect(Effect.AcceptUpTo.class).connections();
        assertTrue(beside(true, 0) < alone);
        assertTrue(beside(true, 400) < beside(true, 100));
        assertTrue(beside(true, 100_000) > alone / 3, "half is its own, whatever the other says");
        assertEquals(alone, beside(false, 0));
    }

    private int beside(boolean accompanied, int connections) {
        node.handle(new Event.HotRestartPeerSeen(accompanied, connections));
        return node.expect(Effect.AcceptUpTo.class).connections();
    }

    /** The names are those of docs/operations.md, which operators' tools read. */
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
