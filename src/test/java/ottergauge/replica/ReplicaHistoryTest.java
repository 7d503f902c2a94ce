// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import ottergauge.replica.ModelControlProcess.FaultKind;
import ottergauge.replica.ModelControlProcess.FaultWindow;
import ottergauge.replica.SimulationScript.Stall;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.Subscription;

/** Random histories of a log, its control processes and the network between them and a node. */
class ReplicaHistoryTest {

    private static final long SECOND = ReplicaSimulation.SECOND;
    private static final long TROUBLES_END = 40 * SECOND;
    private static final long LENGTH = 80 * SECOND;
    private static final int PROCESSES = 4;
    // Rounds of four calls that end at once, each followed by a pause, or a snapshot's pages.
    private static final int MAX_CALLS = 32;
    private static final Subscription ALL = new Subscription(Set.of(), "default");

    private static Arbitrary<Long> instants() {
        return Arbitraries.longs().between(0, TROUBLES_END - SECOND);
    }

    private static Arbitrary<FaultWindow> faults() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, PROCESSES - 1),
                        Arbitraries.of(FaultKind.values()),
                        instants(),
                        Arbitraries.longs().between(1, 20 * SECOND))
                .as(
                        (process, fault, from, length) ->
                                new FaultWindow(
                                        process,
                                        fault,
                                        from,
                                        Math.min(TROUBLES_END, from + length)));
    }

    private static Arbitrary<Subscription> subscriptions() {
        return Arbitraries.of(
                ALL,
                new Subscription(Set.of("even"), "other"),
                new Subscription(Set.of("odd", "even"), "default"),
                new Subscription(Set.of("none"), "none"));
    }

    private static Arbitrary<Optional<Long>> seldom() {
        return instants().injectNull(0.6).map(Optional::ofNullable);
    }

    private static Arbitrary<SimulationScript> scripts(int badChanges) {
        Arbitrary<List<Stall>> stalls =
                instants()
                        .list()
                        .ofMaxSize(1)
                        .map(
                                list ->
                                        list.stream()
                                                .map(at -> new Stall(at, at + 10 * SECOND))
                                                .toList());
        Arbitrary<List<List<Long>>> changes =
                Combinators.combine(
                                instants().list().ofMaxSize(30),
                                instants().list().ofMaxSize(badChanges))
                        .as(List::of);
        return Combinators.combine(
                        faults().list().ofMaxSize(8),
                        changes,
                        stalls,
                        seldom(),
                        seldom(),
                        subscriptions(),
                        Arbitraries.integers().between(2, 40),
                        Arbitraries.longs())
                .as(
                        (spans, at, still, newLog, clockBack, subscription, retained, seed) ->
                                new SimulationScript(
                                        spans,
                                        at.get(0),
                                        at.get(1),
                                        still,
                                        newLog,
                                        clockBack,
                                        subscription,
                                        true,
                                        retained,
                                        seed));
    }

    @Provide
    Arbitrary<SimulationScript> anything() {
        return scripts(0);
    }

    @Property(tries = 2000, seed = "61")
    void anyHistory_eachStateIsOneVersionsAndTheLastIsTheNewest(
            @ForAll("anything") SimulationScript script) {
        // The simulation itself checks each effective state against the log.
        ReplicaSimulation simulation = new ReplicaSimulation(script);
        simulation.run(LENGTH, TROUBLES_END, Optional.empty());
        assertEquals(
                simulation.newest().id(),
                simulation.metrics().position().log(),
                simulation.journal.toString());
        assertEquals(
                EffectiveStateChecker.values(
                        simulation
                                .newest()
                                .stateAt(
                                        simulation.newest().version(),
                                        script.subscription(),
                                        false)),
                EffectiveStateChecker.values(simulation.state()),
                simulation.journal.toString());
    }

    @Provide
    Arbitrary<SimulationScript> withBadChanges() {
        return scripts(6);
    }

    @Property(tries = 1000, seed = "62")
    void invalidChanges_neverTakeEffectAndLaterOnesDo(
            @ForAll("withBadChanges") SimulationScript script) {
        ReplicaSimulation simulation = new ReplicaSimulation(script);
        simulation.run(LENGTH, TROUBLES_END, Optional.empty());
        Map<ResourceKey, Object> newest =
                EffectiveStateChecker.values(
                        simulation
                                .newest()
                                .stateAt(
                                        simulation.newest().version(),
                                        script.subscription(),
                                        false));
        Map<ResourceKey, Object> state = EffectiveStateChecker.values(simulation.state());
        Set<ResourceKey> touchedByInvalid = new HashSet<>();
        for (long version = 1; version <= simulation.newest().version(); version++) {
            if (simulation.newest().isInvalid(version)) {
                touchedByInvalid.addAll(simulation.newest().touchedBy(version));
            } else {
                touchedByInvalid.removeAll(simulation.newest().touchedBy(version));
            }
        }
        newest.keySet().removeAll(touchedByInvalid);
        state.keySet().removeAll(touchedByInvalid);
        assertEquals(newest, state, simulation.journal.toString());
    }

    @Property(tries = 1000, seed = "63")
    void restart_resumesFromTheStoredState(
            @ForAll("anything") SimulationScript script,
            @ForAll("anything") SimulationScript after,
            @ForAll boolean endsWell) {
        ReplicaSimulation first = new ReplicaSimulation(script);
        first.run(LENGTH, TROUBLES_END, Optional.empty());
        if (endsWell) {
            first.stop();
        }
        ReplicaSimulation second = new ReplicaSimulation(after, first.newest());
        second.run(LENGTH, TROUBLES_END, Optional.ofNullable(first.stored));
        assertEquals(
                second.newest().id(), second.metrics().position().log(), second.journal.toString());
        assertEquals(
                EffectiveStateChecker.values(
                        second.newest()
                                .stateAt(second.newest().version(), after.subscription(), false)),
                EffectiveStateChecker.values(second.state()),
                second.journal.toString());
    }

    /** Up to three processes fail at a time, often from the same instant on. */
    @Provide
    Arbitrary<SimulationScript> threeFailedProcesses() {
        Arbitrary<FaultKind> kinds =
                Arbitraries.of(FaultKind.SILENT, FaultKind.KILLED, FaultKind.CUT_OFF);
        Arbitrary<List<FaultWindow>> together =
                Combinators.combine(
                                kinds.list().ofSize(3),
                                instants(),
                                Arbitraries.longs().between(1, 20 * SECOND),
                                Arbitraries.longs().between(0, 50_000))
                        .as(
                                (three, from, length, apart) -> {
                                    List<FaultWindow> spans = new ArrayList<>();
                                    for (int i = 0; i < three.size(); i++) {
                                        spans.add(
                                                new FaultWindow(
                                                        i,
                                                        three.get(i),
                                                        from + i * apart,
                                                        from + length));
                                    }
                                    return spans;
                                });
        return Combinators.combine(
                        together.list().ofMinSize(1).ofMaxSize(3),
                        instants().list().ofMaxSize(10),
                        Arbitraries.integers().between(0, PROCESSES - 1),
                        Arbitraries.longs())
                .as(
                        (drawn, changes, well, seed) -> {
                            List<Long> all = new ArrayList<>(changes);
                            List<FaultWindow> spans = new ArrayList<>();
                            drawn.forEach(
                                    each ->
                                            each.forEach(
                                                    span -> {
                                                        all.add(span.from());
                                                        spans.add(
                                                                new FaultWindow(
                                                                        (span.process() + well + 1)
                                                                                % PROCESSES,
                                                                        span.fault(),
                                                                        span.from(),
                                                                        span.until()));
                                                    }));
                            return new SimulationScript(
                                    spans,
                                    all,
                                    List.of(),
                                    List.of(),
                                    Optional.empty(),
                                    Optional.empty(),
                                    ALL,
                                    false,
                                    1000,
                                    seed);
                        });
    }

    @Property(tries = 3000, seed = "64")
    void threeFailedProcesses_changesTakeEffectByTheDeadline(
            @ForAll("threeFailedProcesses") SimulationScript script) {
        ReplicaSimulation simulation = new ReplicaSimulation(script);
        simulation.run(LENGTH, TROUBLES_END, Optional.empty());
        assertEachEffectiveWithin(simulation, ReplicaSimulation.PROPAGATION_DEADLINE_MICROS);
    }

    private static void assertEachEffectiveWithin(
            ReplicaSimulation simulation, long propagationDeadlineMicros) {
        // The first state is fetched in pages, at its own rate.
        long begins = simulation.effectiveAt.get((long) ReplicaSimulation.FIRST_CHANGES);
        simulation.publishedAt.forEach(
                (version, published) -> {
                    Long at = simulation.effectiveAt.get(version);
                    long due = Math.max(published, begins) + propagationDeadlineMicros;
                    assertTrue(
                            simulation.isNothing(version) || (at != null && at <= due),
                            "version "
                                    + version
                                    + " of "
                                    + published
                                    + " effective at "
                                    + at
                                    + ": "
                                    + simulation.journal);
                });
    }

    /** All four processes fail together for a while. */
    @Provide
    Arbitrary<SimulationScript> allProcessesFailed() {
        Arbitrary<List<FaultKind>> mixed =
                Arbitraries.of(FaultKind.SILENT, FaultKind.KILLED, FaultKind.CUT_OFF)
                        .list()
                        .ofSize(PROCESSES);
        Arbitrary<List<FaultKind>> killed =
                Arbitraries.of(FaultKind.KILLED).list().ofSize(PROCESSES);
        return Combinators.combine(
                        Arbitraries.oneOf(mixed, killed),
                        Arbitraries.longs().between(6 * SECOND, 20 * SECOND),
                        Arbitraries.longs().between(1, 15 * SECOND),
                        Arbitraries.longs())
                .as(
                        (kinds, from, length, seed) -> {
                            List<FaultWindow> spans = new ArrayList<>();
                            for (int i = 0; i < PROCESSES; i++) {
                                spans.add(new FaultWindow(i, kinds.get(i), from, from + length));
                            }
                            return new SimulationScript(
                                    spans,
                                    List.of(from + length / 2),
                                    List.of(),
                                    List.of(),
                                    Optional.empty(),
                                    Optional.empty(),
                                    ALL,
                                    false,
                                    1000,
                                    seed);
                        });
    }

    @Property(tries = 1000, seed = "65")
    void recoveryOfAllProcesses_isFollowedByTheDeadline(
            @ForAll("allProcessesFailed") SimulationScript script) {
        ReplicaSimulation simulation = new ReplicaSimulation(script);
        simulation.run(LENGTH, TROUBLES_END, Optional.empty());
        long healed = script.faults().get(0).until();
        long version = simulation.newest().version();
        Long at = simulation.effectiveAt.get(version);
        assertTrue(
                simulation.isNothing(version)
                        || (at != null
                                && at <= healed + ReplicaSimulation.PROPAGATION_DEADLINE_MICROS),
                "healed at " + healed + ", effective at " + at + ": " + simulation.journal);
    }

    @Property(tries = 1000, seed = "66")
    void anyHistory_callRateIsBounded(@ForAll("anything") SimulationScript script) {
        ReplicaSimulation simulation =
                new ReplicaSimulation(
                        new SimulationScript(
                                script.faults(),
                                List.of(),
                                List.of(),
                                script.stalls(),
                                Optional.empty(),
                                script.clockBackAt(),
                                script.subscription(),
                                false,
                                1000,
                                script.seed()));
        simulation.run(LENGTH, TROUBLES_END, Optional.empty());
        assertCallsWithinFourSeconds(simulation, MAX_CALLS);
    }

    @Property(tries = 300, seed = "67")
    void outageOfAllProcesses_callRateIsBounded(
            @ForAll("allProcessesFailed") SimulationScript script) {
        ReplicaSimulation simulation = new ReplicaSimulation(script);
        simulation.run(LENGTH, TROUBLES_END, Optional.empty());
        assertCallsWithinFourSeconds(simulation, MAX_CALLS);
    }

    private static void assertCallsWithinFourSeconds(ReplicaSimulation simulation, int max) {
        for (int i = max; i < simulation.calls.size(); i++) {
            assertTrue(
                    simulation.calls.get(i) - simulation.calls.get(i - max) >= 4 * SECOND,
                    "called "
                            + max
                            + " times from "
                            + simulation.calls.get(i - max)
                            + ": "
                            + simulation.journal);
        }
    }
}
