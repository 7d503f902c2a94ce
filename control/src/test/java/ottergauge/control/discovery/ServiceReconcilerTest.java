// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import ottergauge.control.log.ChangeLog;
import ottergauge.control.log.LogRetention;
import ottergauge.control.log.SubmissionBuilder;
import ottergauge.control.log.SubmissionOutcome;
import ottergauge.decision.api.EndpointState;
import ottergauge.protocol.Address;
import ottergauge.protocol.DiscoveredEndpoint;
import ottergauge.protocol.EndpointList;
import ottergauge.resources.Change;
import ottergauge.resources.Resource;
import ottergauge.resources.ResourceKind;
import ottergauge.resources.ResourceValue.Server;
import ottergauge.resources.Submission;
import ottergauge.resources.Subscription;

/** Tests which submissions the reconciler publishes so that the log matches discovery's list. */
class ServiceReconcilerTest {

    private static final String SERVICE = "checkout";

    private final ServiceReconciler reconciler = new ServiceReconciler(SERVICE);
    private final ChangeLog log = new ChangeLog("a1", LogRetention.DEFAULT);
    private int ids;

    private static DiscoveredEndpoint host(String name, EndpointState state, double share) {
        return new DiscoveredEndpoint(
                name, new Address("127.0.0.1", 4000), "zone-a", "std", 0, state, share, 0);
    }

    private static DiscoveredEndpoint up(String name) {
        return host(name, EndpointState.UP, 1);
    }

    private void list(boolean complete, DiscoveredEndpoint... hosts) {
        reconciler.applyDiscoveryList(new EndpointList(1, complete, List.of(hosts)));
    }

    private static List<Resource> state(ChangeLog log) {
        return log.snapshot(Optional.empty(), new Subscription(Set.of(SERVICE), "default"), 1 << 20)
                .page()
                .resources();
    }

    private static Map<String, DiscoveredEndpoint> servers(ChangeLog log) {
        return state(log).stream()
                .filter(each -> each.key().kind() == ResourceKind.SERVER)
                .collect(
                        Collectors.toMap(
                                each -> each.key().name(),
                                each -> ((Server) each.value()).endpoint()));
    }

    private Optional<Submission> next() {
        ids++;
        return reconciler.nextSubmission("id-" + ids);
    }

    /** Publishes submissions until none is left. Returns the number of accepted changes. */
    private int publishAll() {
        int changes = 0;
        Optional<Submission> next = next();
        while (next.isPresent()) {
            assertTrue(
                    next.get().puts().size() + next.get().deletes().size() <= 501,
                    "too many entries");
            SubmissionOutcome outcome = log.apply(next.get());
            if (outcome instanceof SubmissionOutcome.Rejected invalid) {
                reconciler.markRejected(next.get(), invalid.errors());
            } else {
                reconciler.markAccepted(next.get());
                changes++;
            }
            next = next();
            assertTrue(ids < 1_000, "submissions do not end");
        }
        return changes;
    }

    @Test
    void beforeAFullList_nothingIsPublished() {
        log.apply(SubmissionBuilder.of("a").service(SERVICE).server("s-1", SERVICE).build());
        reconciler.resetPublished(state(log));
        assertEquals(Optional.empty(), next());
        list(false, up("s-2"));
        assertEquals(Optional.empty(), next());
        list(true, up("s-2"));
        assertEquals(1, publishAll());
        assertEquals(Map.of("s-2", up("s-2")), servers(log));
    }

    @Test
    void firstSubmission_putsTheService() {
        reconciler.resetPublished(state(log));
        list(true, up("s-1"), up("s-2"));
        Submission first = next().orElseThrow();
        assertEquals(ResourceKind.SERVICE, first.puts().get(0).key().kind());
        assertEquals(3, first.puts().size());
    }

    @Test
    void submission_hasOnlyDifferences() {
        reconciler.resetPublished(state(log));
        list(true, up("s-1"), up("s-2"), up("s-3"));
        publishAll();
        list(
                false,
                up("s-1"),
                host("s-2", EndpointState.DRAINING, 1),
                host("s-3", EndpointState.REMOVED, 1));
        Submission next = next().orElseThrow();
        assertEquals(
                List.of(
                        new Change.Put(
                                SubmissionBuilder.key(ResourceKind.SERVER, "s-2"),
                                new Server(SERVICE, host("s-2", EndpointState.DRAINING, 1)))),
                next.puts());
        assertEquals(List.of(SubmissionBuilder.key(ResourceKind.SERVER, "s-3")), next.deletes());
        publishAll();
        list(true, up("s-1"), host("s-2", EndpointState.DRAINING, 1));
        assertEquals(Optional.empty(), next());
    }

    @Test
    void changesByOtherClients_areReverted() {
        reconciler.resetPublished(state(log));
        list(true, up("s-1"), up("s-2"));
        publishAll();
        Submission other =
                SubmissionBuilder.of("other")
                        .delete(ResourceKind.SERVER, "s-1")
                        .server("s-2", SERVICE, 7)
                        .server("s-9", SERVICE)
                        .build();
        log.apply(other);
        reconciler.applyChange(
                new Change(
                        9,
                        other.puts(),
                        List.of(
                                new Change.Delete(
                                        SubmissionBuilder.key(ResourceKind.SERVER, "s-1"),
                                        SERVICE))));
        publishAll();
        assertEquals(Map.of("s-1", up("s-1"), "s-2", up("s-2")), servers(log));
    }

    @Test
    void emptyLog_receivesEverythingAgain() {
        reconciler.resetPublished(state(log));
        list(true, up("s-1"), up("s-2"));
        publishAll();
        reconciler.resetPublished(List.of());
        Submission all = next().orElseThrow();
        assertEquals(3, all.puts().size());
    }

    @Test
    void largeList_isPublishedInSeveralSubmissions() {
        reconciler.resetPublished(state(log));
        list(
                true,
                IntStream.range(0, 1_200)
                        .mapToObj(i -> up("s-" + i))
                        .toArray(DiscoveredEndpoint[]::new));
        assertEquals(3, publishAll());
        assertEquals(1_200, servers(log).size());
        list(true);
        publishAll();
        assertEquals(Map.of(), servers(log));
    }

    @Test
    void serverOfAnotherService_isSkipped() {
        log.apply(SubmissionBuilder.of("a").service("search").server("s-2", "search").build());
        reconciler.resetPublished(state(log));
        list(true, up("s-1"), up("s-2"), up("s-3"));
        publishAll();
        assertEquals(Map.of("s-1", up("s-1"), "s-3", up("s-3")), servers(log));
        list(false, host("s-2", EndpointState.UP, 2));
        assertTrue(next().isPresent(), "a new value is tried again");
    }

    @Test
    void malformedEntry_isSkipped() {
        reconciler.resetPublished(state(log));
        list(true, up("s-1"), up("no name"), host("s-2", EndpointState.UP, -1));
        Submission all = next().orElseThrow();
        assertEquals(2, reconciler.rejectMalformed(all).size());
        assertEquals(1, publishAll());
        assertEquals(Map.of("s-1", up("s-1")), servers(log));
    }

    /**
     * One step of a random history. The kind selects an event at discovery, at the log or at the
     * reconciler.
     */
    private record Step(int kind, int name, int share) {}

    @Provide
    Arbitrary<List<Step>> histories() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 5),
                        Arbitraries.integers().between(0, 5),
                        Arbitraries.integers().between(1, 3))
                .as(Step::new)
                .list()
                .ofMaxSize(60);
    }

    @Property(tries = 300, seed = "61")
    void log_convergesToDiscovery(@ForAll("histories") List<Step> history) {
        ServiceReconcilerTest simulation = new ServiceReconcilerTest();
        simulation.reconciler.resetPublished(List.of());
        Map<String, DiscoveredEndpoint> listed = new HashMap<>();
        for (Step step : history) {
            DiscoveredEndpoint host = host("s-" + step.name(), EndpointState.UP, step.share());
            switch (step.kind()) {
                case 0 -> simulation.applyUpdate(listed, host);
                case 1 ->
                        simulation.applyUpdate(listed, host(host.name(), EndpointState.REMOVED, 1));
                case 2 -> simulation.list(true, listed.values().toArray(DiscoveredEndpoint[]::new));
                case 3 -> simulation.publishAll();
                case 4 -> simulation.publishByAnotherClient(host);
                default -> simulation.reconciler.resetPublished(state(simulation.log));
            }
        }
        simulation.list(true, listed.values().toArray(DiscoveredEndpoint[]::new));
        simulation.publishAll();
        assertEquals(listed, servers(simulation.log));
        assertFalse(simulation.next().isPresent());
    }

    private void applyUpdate(Map<String, DiscoveredEndpoint> listed, DiscoveredEndpoint host) {
        if (host.state() == EndpointState.REMOVED) {
            listed.remove(host.name());
        } else {
            listed.put(host.name(), host);
        }
        list(false, host);
    }

    // Another client puts a server of this service, and the reconciler receives that change.
    private void publishByAnotherClient(DiscoveredEndpoint host) {
        Submission other =
                SubmissionBuilder.of("meddled-" + ids++)
                        .service(SERVICE)
                        .server(host.name(), SERVICE, host.weight() + 10)
                        .build();
        log.apply(other);
        reconciler.applyChange(new Change(1, other.puts(), List.of()));
    }
}
