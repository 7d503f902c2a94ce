// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import ottergauge.decision.api.AttemptResult;
import ottergauge.decision.api.DecisionAction;
import ottergauge.decision.api.DecisionAction.CancelAttempt;
import ottergauge.decision.api.DecisionAction.FailRequest;
import ottergauge.decision.api.DecisionAction.RejectRequest;
import ottergauge.decision.api.DecisionAction.SendAttempt;
import ottergauge.decision.api.DecisionAction.SendProbe;
import ottergauge.decision.api.DecisionAction.SetTimer;
import ottergauge.decision.api.DecisionEvent.AttemptEnded;
import ottergauge.decision.api.DecisionEvent.ClientDisconnected;
import ottergauge.decision.api.DecisionEvent.EndpointUpdate;
import ottergauge.decision.api.DecisionEvent.ProbeEnded;
import ottergauge.decision.api.DecisionEvent.SettingsChanged;
import ottergauge.decision.api.DecisionSettings;
import ottergauge.decision.api.DeduplicationScope;
import ottergauge.decision.api.Endpoint;
import ottergauge.decision.api.EndpointState;
import ottergauge.decision.api.EndpointStatus;
import ottergauge.decision.api.Idempotency;
import ottergauge.decision.api.LoadReport;
import ottergauge.decision.api.RequestClass;
import ottergauge.decision.api.RequestLimits;
import ottergauge.decision.api.ServiceRules;
import ottergauge.decision.api.UpdateScope;

/**
 * Tests that the settings can be replaced while requests are pending, are outstanding, or are about
 * to be retried.
 */
class SettingsReplacementTest {

    private static final long MS = TestNode.MS;
    private static final RequestClass READ =
            TestSettings.newRequestClass(
                    "read", Idempotency.IDEMPOTENT, DeduplicationScope.FLEET, 1);
    private static final RequestClass GRANT =
            TestSettings.newRequestClass(
                    "grant", Idempotency.NON_IDEMPOTENT, DeduplicationScope.FLEET, 1);
    private static final RequestClass PAY =
            TestSettings.newRequestClass("pay", Idempotency.KEYED, DeduplicationScope.FLEET, 1);

    private final TestSettings settings = new TestSettings();
    private int lastRequest;

    private TestNode node(RequestClass... classes) {
        settings.classes = List.of(classes);
        return new TestNode(settings.build());
    }

    private DecisionSettings with(RequestClass... classes) {
        settings.classes = List.of(classes);
        return settings.build();
    }

    private static RequestClass newRequestClass(
            String name, Idempotency idempotency, long latencyObjective, long deadline) {
        return new RequestClass(
                name,
                idempotency,
                DeduplicationScope.FLEET,
                latencyObjective,
                deadline,
                800_000,
                1,
                0,
                false);
    }

    private static List<DecisionAction> arrive(TestNode node, String id, int requestClass) {
        return node.arrive(
                id,
                requestClass,
                node.now + node.settings.requestClasses().get(requestClass).deadline(),
                false);
    }

    private static SendAttempt sent(List<DecisionAction> actions) {
        return TestNode.onlyOfType(SendAttempt.class, actions);
    }

    // ---- Requests that arrived before
    // ----------------------------------------------------------------------

    /**
     * The request arrived when several attempts were allowed. It is retried although the new
     * settings allow only one attempt.
     */
    @Test
    void anOutstandingRequestKeepsTheMaximumNumberOfAttemptsOfItsArrival() {
        TestNode node = node(READ);
        node.servers(3);
        SendAttempt before = sent(arrive(node, "before", 0));
        settings.maxAttempts = 1;
        node.applySettings(with(READ));
        SendAttempt after = sent(arrive(node, "after", 0));
        node.now += MS;
        sent(node.endAttempt("before", 0, before.server(), AttemptResult.CONNECT_FAILED, MS));
        TestNode.onlyOfType(
                RejectRequest.class,
                node.endAttempt("after", 0, after.server(), AttemptResult.CONNECT_FAILED, MS));
    }

    /**
     * Guards against an effect that happens twice. The class that applied at the request's arrival
     * forbids a retry.
     */
    @Test
    void aRequestKeepsItsClassAlthoughTheNameNowBelongsToAnotherOne() {
        TestNode node = node(GRANT);
        node.servers(3);
        SendAttempt before = sent(arrive(node, "before", 0));
        node.applySettings(
                with(
                        TestSettings.newRequestClass(
                                "grant", Idempotency.IDEMPOTENT, DeduplicationScope.FLEET, 1)));
        SendAttempt after = sent(arrive(node, "after", 0));
        node.now += MS;
        TestNode.onlyOfType(
                FailRequest.class,
                node.endAttempt("before", 0, before.server(), AttemptResult.RESET, MS));
        sent(node.endAttempt("after", 0, after.server(), AttemptResult.RESET, MS));
    }

    @Test
    void aPendingRequestKeepsTheLatencyObjectiveOfItsArrival() {
        TestNode node = node(newRequestClass("read", Idempotency.IDEMPOTENT, 1_000_000, 2_000_000));
        arrive(node, "before", 0);
        node.applySettings(
                with(newRequestClass("read", Idempotency.IDEMPOTENT, 200_000, 2_000_000)));
        arrive(node, "after", 0);
        assertEquals("after", TestNode.onlyOfType(RejectRequest.class, node.after(250 * MS)).id());
        assertEquals("before", TestNode.onlyOfType(RejectRequest.class, node.after(800 * MS)).id());
    }

    @Test
    void aRejectionAdvisesTheRetryDelayOfTheLimitsAtArrival() {
        TestNode node = node(READ);
        arrive(node, "before", 0);
        DecisionSettings build = with(READ);
        node.applySettings(
                new DecisionSettings(
                        build.nodeIndex(),
                        build.nodeCount(),
                        build.zone(),
                        build.eventInterval(),
                        build.discoveryMode(),
                        build.reportsLoad(),
                        build.clientRetriesMarked(),
                        build.cacheAffinity(),
                        new RequestLimits(false, false, true, 5, 900_000),
                        build.rules(),
                        build.costs(),
                        build.requestClasses()));
        arrive(node, "after", 0);
        List<RejectRequest> rejected = TestNode.ofType(RejectRequest.class, node.after(1_500 * MS));
        assertEquals(List.of("before", "after"), rejected.stream().map(RejectRequest::id).toList());
        assertEquals(
                List.of(600_000L, 900_000L),
                rejected.stream().map(RejectRequest::retryAfter).toList());
    }

    /** The request arrived when cancellation was allowed, so its attempt may still be cancelled. */
    @Test
    void anAttemptIsCancelledByTheLimitsAtTheArrivalOfItsRequest() {
        TestNode node = node(READ);
        node.servers(3);
        sent(arrive(node, "before", 0));
        DecisionSettings build = with(READ);
        node.applySettings(
                new DecisionSettings(
                        build.nodeIndex(),
                        build.nodeCount(),
                        build.zone(),
                        build.eventInterval(),
                        build.discoveryMode(),
                        build.reportsLoad(),
                        build.clientRetriesMarked(),
                        build.cacheAffinity(),
                        new RequestLimits(false, false, true, 5, 600_000),
                        build.rules(),
                        build.costs(),
                        build.requestClasses()));
        sent(arrive(node, "after", 0));
        assertEquals(
                "before",
                TestNode.onlyOfType(
                                CancelAttempt.class, node.deliver(new ClientDisconnected("before")))
                        .id());
        assertEquals(
                List.of(),
                TestNode.ofType(
                        CancelAttempt.class, node.deliver(new ClientDisconnected("after"))));
    }

    // ---- Classes that are added, removed or reordered
    // -------------------------------------------------------------

    @Test
    void aPendingRequestOfARemovedClassIsStillServed() {
        TestNode node = node(READ, GRANT);
        arrive(node, "held", 1);
        node.applySettings(with(READ));
        SendAttempt send = sent(node.servers(2));
        assertEquals("held", send.id());
        node.now += MS;
        // The latency of its response is recorded in the shared row, and its failures count in the
        // shared retry budget.
        node.endAttempt("held", 0, send.server(), AttemptResult.SERVED, MS);
        arrive(node, "next", 0);
    }

    @Test
    void anOutstandingRequestOfARemovedClassIsRetried() {
        TestNode node = node(READ, PAY);
        node.servers(3);
        SendAttempt send = sent(arrive(node, "out", 1));
        node.applySettings(with(READ));
        node.now += MS;
        SendAttempt retry = sent(node.endAttempt("out", 0, send.server(), AttemptResult.RESET, MS));
        node.applySettings(with(GRANT));
        node.now += MS;
        node.endAttempt("out", 1, retry.server(), AttemptResult.SERVED, MS);
        assertEquals(2, TestNode.ofType(SendAttempt.class, node.allActions).size());
    }

    @Test
    void theClassIndexOfARequestRefersToTheNewSettings() {
        TestNode node = node(READ);
        node.servers(2);
        node.applySettings(with(GRANT, READ));
        SendAttempt send = sent(arrive(node, "first", 0));
        node.now += MS;
        TestNode.onlyOfType(
                FailRequest.class,
                node.endAttempt("first", 0, send.server(), AttemptResult.RESET, MS));
    }

    /**
     * With the new settings the removed server would have its full capacity, but it is removed at
     * the same instant.
     */
    @Test
    void settingsAndServersTakeEffectTogether() {
        settings.nodes = 50_000;
        TestNode node = node(READ);
        node.updateServer(1, EndpointState.UP, node.now);
        assertEquals(List.of(), TestNode.ofType(SendAttempt.class, arrive(node, "held", 0)));
        DecisionSettings slowStartOn = with(READ, GRANT);
        DecisionSettings slowStartOff =
                new DecisionSettings(
                        slowStartOn.nodeIndex(),
                        slowStartOn.nodeCount(),
                        slowStartOn.zone(),
                        slowStartOn.eventInterval(),
                        slowStartOn.discoveryMode(),
                        slowStartOn.reportsLoad(),
                        slowStartOn.clientRetriesMarked(),
                        slowStartOn.cacheAffinity(),
                        slowStartOn.limits(),
                        new ServiceRules(5_000, 500_000, 0.2, 0, 3, 1_000_000),
                        slowStartOn.costs(),
                        slowStartOn.requestClasses());
        List<DecisionAction> actions =
                node.deliver(
                        new SettingsChanged(
                                slowStartOff,
                                new EndpointUpdate(
                                        UpdateScope.INCREMENTAL,
                                        List.of(
                                                TestNode.server(1, EndpointState.REMOVED, 0),
                                                TestNode.server(2, EndpointState.UP, 0)))));
        assertEquals(2, sent(actions).server());
    }

    /**
     * Serves requests of one class, quickly at one server and slowly at the other, and returns how
     * many the first one got.
     */
    private int serveAndCount(TestNode node, int requestClass, long fastServer, int requests) {
        int fastCount = 0;
        for (int i = 0; i < requests; i++) {
            String id = "t" + ++lastRequest;
            long server = sent(arrive(node, id, requestClass)).server();
            long elapsed = server == fastServer ? 10 * MS : 90 * MS;
            node.now += elapsed;
            node.endAttempt(id, 0, server, AttemptResult.SERVED, elapsed);
            fastCount += server == fastServer ? 1 : 0;
        }
        return fastCount;
    }

    /**
     * Rows are kept by name, so each class continues to use mostly the server that is fast for it.
     */
    @Test
    void aClassKeepsItsWeightsWhenItsIndexChanges() {
        TestNode node = node(READ, GRANT);
        node.servers(2);
        for (int i = 0; i < 200; i++) {
            serveAndCount(node, 0, 1, 1);
            serveAndCount(node, 1, 2, 1);
        }
        node.applySettings(with(PAY, GRANT, READ));
        int reads = serveAndCount(node, 2, 1, 20);
        assertTrue(reads >= 15, "reads at the first server: " + reads);
        int grants = serveAndCount(node, 1, 2, 20);
        assertTrue(grants >= 15, "grants at the second server: " + grants);
    }

    /** A class that is added under the name of a removed class has no statistics yet. */
    @Test
    void aClassThatIsAddedAgainStartsWithoutStatistics() {
        TestNode node = node(READ, GRANT);
        node.servers(2);
        for (int i = 0; i < 200; i++) {
            serveAndCount(node, 0, 1, 1);
            serveAndCount(node, 1, 2, 1);
        }
        node.applySettings(with(READ));
        node.applySettings(with(READ, GRANT));
        int fastCount = serveAndCount(node, 1, 2, 10);
        assertTrue(
                fastCount <= 7, "requests at the fast server, with the shared row: " + fastCount);
    }

    /**
     * Uses one retry from the retry budget of a class if there is one left. Returns true if the
     * budget was used up.
     */
    private boolean isRetryBudgetUsedUp(TestNode node, int requestClass) {
        String id = "s" + ++lastRequest;
        long server = sent(arrive(node, id, requestClass)).server();
        List<DecisionAction> actions = node.endAttempt(id, 0, server, AttemptResult.REJECTED, 0);
        node.now += 200 * MS;
        boolean retry =
                !TestNode.ofType(SendAttempt.class, actions).isEmpty()
                        || !TestNode.ofType(SendAttempt.class, node.after(0)).isEmpty();
        node.deliver(new ClientDisconnected(id));
        node.deliver(
                new AttemptEnded(id, 1, server, AttemptResult.CANCELLED, 0, true, LoadReport.NONE));
        return !retry;
    }

    /**
     * Uses up the retry budget of one class, while requests of another class keep the budget of all
     * classes together from being used up.
     */
    private void useUpRetryBudget(TestNode node, int requestClass, int other) {
        node.servers(8);
        while (!isRetryBudgetUsedUp(node, requestClass)) {
            serveAndCount(node, other, 1, 20);
        }
    }

    @Test
    void aClassKeepsItsRetryBudgetWhenItsIndexChanges() {
        TestNode node = node(READ, PAY);
        useUpRetryBudget(node, 0, 1);
        node.applySettings(with(PAY, GRANT, READ));
        assertTrue(isRetryBudgetUsedUp(node, 2), "the budget of the class is still used up");
        assertTrue(
                !isRetryBudgetUsedUp(node, 0), "the budget of all classes together is not used up");
    }

    @Test
    void aClassThatIsAddedAgainHasAFullRetryBudget() {
        TestNode node = node(READ, PAY);
        useUpRetryBudget(node, 0, 1);
        node.applySettings(with(PAY));
        node.applySettings(with(READ, PAY));
        assertTrue(!isRetryBudgetUsedUp(node, 0), "the budget should be full again");
    }

    /**
     * Guards against an index out of bounds: 64 classes have their own rows, the others share one.
     */
    @Test
    void moreClassesThanRowsCanBeAddedAndRemoved() {
        RequestClass[] many =
                IntStream.range(0, 1024)
                        .mapToObj(
                                i ->
                                        TestSettings.newRequestClass(
                                                "c" + i,
                                                Idempotency.IDEMPOTENT,
                                                DeduplicationScope.FLEET,
                                                1))
                        .toArray(RequestClass[]::new);
        TestNode node = node(READ);
        node.servers(4);
        arrive(node, "read", 0);
        node.applySettings(with(many));
        for (int i : new int[] {0, 63, 64, 1023}) {
            assertEquals(1, TestNode.ofType(SendAttempt.class, arrive(node, "m" + i, i)).size());
        }
        node.applySettings(with(many[1023], READ, many[64], GRANT));
        for (SendAttempt send :
                TestNode.ofType(SendAttempt.class, new ArrayList<>(node.allActions))) {
            node.now += MS;
            node.endAttempt(send.id(), 0, send.server(), AttemptResult.SERVED, MS);
        }
        assertEquals(1, TestNode.ofType(SendAttempt.class, arrive(node, "last", 0)).size());
    }

    // ---- Settings that apply to servers
    // ---------------------------------------------------------------

    private static Set<Long> used(TestNode node, int requests) {
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < requests; i++) {
            used.add(node.serve("u" + node.now + "-" + i, MS));
        }
        return used;
    }

    @Test
    void theSubsetFollowsTheNumberOfNodes() {
        settings.nodes = 1000;
        settings.node = 7;
        TestNode node = node(READ);
        node.servers(200);
        Set<Long> few = used(node, 100);
        settings.nodes = 1;
        settings.node = 0;
        node.applySettings(with(READ));
        Set<Long> many = used(node, 100);
        settings.nodes = 1000;
        settings.node = 7;
        node.applySettings(with(READ));
        assertEquals(12, few.size());
        assertEquals(32, many.size());
        assertEquals(few, used(node, 100));
        settings.node = 503;
        node.applySettings(with(READ));
        assertNotEquals(few, used(node, 100));
    }

    /**
     * A node's share of the slow-start budget of a server follows the number of nodes immediately.
     */
    @Test
    void theSlowStartBudgetFollowsTheNumberOfNodes() {
        settings.probes = true;
        settings.nodes = 1;
        TestNode alone = node(READ);
        TestNode among = node(READ);
        long sentAlone = sendsDuringSlowStart(alone, 1);
        settings.nodes = 50;
        long sentAmong = sendsDuringSlowStart(among, 50);
        assertTrue(
                sentAlone >= 3 && sentAmong <= 1,
                "alone " + sentAlone + ", among fifty " + sentAmong);
    }

    private long sendsDuringSlowStart(TestNode node, int nodes) {
        node.servers(1);
        for (int i = 0; i < 30; i++) {
            String id = "w" + ++lastRequest;
            List<DecisionAction> actions = arrive(node, id, 0);
            actions =
                    TestNode.ofType(SendProbe.class, actions).isEmpty()
                            ? actions
                            : node.probed(1, 0);
            SendAttempt send = sent(actions);
            node.now += 100 * MS;
            node.endAttempt(id, 0, send.server(), AttemptResult.SERVED, 100 * MS);
        }
        settings.nodes = nodes;
        node.applySettings(with(READ));
        node.updateServer(1, EndpointState.UP, node.now);
        int before = TestNode.ofType(SendAttempt.class, node.allActions).size();
        for (int i = 0; i < 8; i++) {
            String id = "c" + ++lastRequest;
            if (!TestNode.ofType(SendProbe.class, arrive(node, id, 0)).isEmpty()) {
                node.probed(1, 0);
            }
            node.now += 100 * MS;
            node.endAttempt(id, 0, 1, AttemptResult.SERVED, 100 * MS);
        }
        return (long) TestNode.ofType(SendAttempt.class, node.allActions).size() - before;
    }

    @Test
    void probesStartAndStopWithTheSettings() {
        TestNode node = node(READ);
        node.servers(2);
        long server = sent(arrive(node, "a", 0)).server();
        node.now += MS;
        node.endAttempt("a", 0, server, AttemptResult.SERVED, MS);
        settings.probes = true;
        node.applySettings(with(READ));
        node.now += 100 * MS;
        long probed = TestNode.onlyOfType(SendProbe.class, arrive(node, "b", 0)).server();
        settings.probes = false;
        // The request that waits for the probe is sent immediately. The result of the probe is
        // still processed.
        assertEquals("b", sent(node.applySettings(with(READ))).id());
        node.probed(probed, 3);
        assertEquals(0, TestNode.ofType(SendProbe.class, arrive(node, "c", 0)).size());
    }

    private static void listOnly(TestNode node, long id, int zone) {
        node.deliver(
                new EndpointUpdate(
                        UpdateScope.FULL,
                        List.of(new Endpoint(id, zone, 0, 0, EndpointState.UP, 1, 0))));
    }

    /** Serves a request after a probe of the only server with this round-trip time. */
    private void probe(TestNode node, long roundTrip) {
        node.now += 1_000 * MS;
        String id = "p" + ++lastRequest;
        long server = TestNode.onlyOfType(SendProbe.class, arrive(node, id, 0)).server();
        node.now += roundTrip;
        node.deliver(new ProbeEnded(server, AttemptResult.SERVED, roundTrip, TestNode.IDLE));
        node.now += MS;
        node.endAttempt(id, 0, server, AttemptResult.SERVED, MS);
    }

    /** Guards against probe timeouts in a far zone that has the number of a former near zone. */
    @Test
    void roundTripTimesAreMeasuredAgainWhenZonesAreRenumbered() {
        settings.probes = true;
        TestNode node = node(READ);
        listOnly(node, 2, 0);
        probe(node, MS);
        listOnly(node, 1, 1);
        probe(node, 30 * MS);
        listOnly(node, 1, 0);
        probe(node, 30 * MS);
        node.now += 1_000 * MS;
        TestNode.onlyOfType(SendProbe.class, arrive(node, "last", 0));
        assertEquals(EndpointStatus.ACTIVE, node.engine.endpointStatus(node.now + 20 * MS, 1));
        node.after(20 * MS);
        assertEquals(EndpointStatus.ACTIVE, node.engine.endpointStatus(node.now, 1));
    }

    /** A change that is reverted immediately has no effect on later actions. */
    @Test
    void aChangeThatIsRevertedChangesNothing() {
        TestSettings first = new TestSettings();
        first.classes = List.of(READ, PAY, GRANT);
        TestSettings second = new TestSettings();
        second.classes = List.of(GRANT, READ, PAY);
        second.maxAttempts = 1;
        second.retriesMarked = false;
        TestNode changed = new TestNode(first.build());
        TestNode plain = new TestNode(first.build());
        changed.servers(5);
        plain.servers(5);
        for (int i = 0; i < 300; i++) {
            if (i % 7 == 0) {
                changed.applySettings(second.build());
                changed.applySettings(first.build());
            }
            assertEquals(step(plain, i), step(changed, i), "request " + i);
        }
    }

    private static List<DecisionAction> step(TestNode node, int i) {
        List<DecisionAction> actions = new ArrayList<>(arrive(node, "q" + i, i % 3));
        AttemptResult result =
                i % 11 == 0
                        ? AttemptResult.REJECTED
                        : i % 13 == 0 ? AttemptResult.ERROR : AttemptResult.SERVED;
        for (SendAttempt send : TestNode.ofType(SendAttempt.class, actions)) {
            node.now += (20 + send.server() * 10) * MS;
            actions.addAll(
                    node.endAttempt(
                            send.id(), 0, send.server(), result, (20 + send.server() * 10) * MS));
        }
        // Timers are set again at each event, so only the other actions are compared.
        actions.removeIf(SetTimer.class::isInstance);
        return actions;
    }
}
