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

/**
 * Tests a replica with random histories of a log, its control processes and the network between
 * them and the node.
 */
class ReplicaHistoryTest {

    private static final long SECOND = ReplicaSimulation.SECOND;
    private static final long FAULTS_END = 40 * SECOND;
    private static final long DURATION = 80 * SECOND;
    private static final int PROCESSES = 4;
    // The maximum number of calls within 4 s. Allows for the pages of a snapshot, or for rounds of
    // four calls that fail at once, with a back-off after each round.
    private static final int MAX_CALLS = 32;
    private static final Subscription ALL = new Subscription(Set.of(), "default");

    private static Arbitrary<Long> faultPhaseInstants() {
        return Arbitraries.longs().between(0, FAULTS_END - SECOND);
    }

    private static Arbitrary<FaultWindow> faults() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, PROCESSES - 1),
                        Arbitraries.of(FaultKind.values()),
                        faultPhaseInstants(),
                        Arbitraries.longs().between(1, 20 * SECOND))
                .as(
                        (process, fault, from, length) ->
                                new FaultWindow(
                                        process, fault, from, Math.min(FAULTS_END, from + length)));
    }

    private static Arbitrary<Subscription> subscriptions() {
        return Arbitraries.of(
                ALL,
                new Subscription(Set.of("even"), "other"),
                new Subscription(Set.of("odd", "even"), "default"),
                new Subscription(Set.of("none"), "none"));
    }

    private static Arbitrary<Optional<Long>> optionalInstants() {
        return faultPhaseInstants().injectNull(0.6).map(Optional::ofNullable);
    }

    private static Arbitrary<SimulationScript> scripts(int invalidChanges) {
        Arbitrary<List<Stall>> stalls =
                faultPhaseInstants()
                        .list()
                        .ofMaxSize(1)
                        .map(
                                list ->
                                        list.stream()
                                                .map(at -> new Stall(at, at + 10 * SECOND))
                                                .toList());
        Arbitrary<List<List<Long>>> changes =
                Combinators.combine(
                                faultPhaseInstants().list().ofMaxSize(30),
                                faultPhaseInstants().list().ofMaxSize(invalidChanges))
                        .as(List::of);
        return Combinators.combine(
                        faults().list().ofMaxSize(8),
                        changes,
                        stalls,
                        optionalInstants(),
                        optionalInstants(),
                        subscriptions(),
                        Arbitraries.integers().between(2, 40),
                        Arbitraries.longs())
                .as(
                        (windows,
                                at,
                                stallList,
                                newLog,
                                clockSetBack,
                                subscription,
                                retained,
                                seed) ->
                                new SimulationScript(
                                        windows,
                                        at.get(0),
                                        at.get(1),
                                        stallList,
                                        newLog,
                                        clockSetBack,
                                        subscription,
                                        true,
                                        retained,
                                        seed));
    }

    @Provide
    Arbitrary<SimulationScript> anyScript() {
        return scripts(0);
    }

    @Property(tries = 2000, seed = "61")
    void anyHistory_eachStateMatchesAVersionAndTheLastIsTheNewest(
            @ForAll("anyScript") SimulationScript script) {
        // The simulation itself checks each effective state against the log.
        ReplicaSimulation simulation = new ReplicaSimulation(script);
        simulation.run(DURATION, FAULTS_END, Optional.empty());
        assertEquals(
                simulation.newest().id(),
                simulation.metrics().position().log(),
                simulation.eventLog.toString());
        assertEquals(
                EffectiveStateChecker.values(
                        simulation
                                .newest()
                                .stateAt(
                                        simulation.newest().version(),
                                        script.subscription(),
                                        false)),
                EffectiveStateChecker.values(simulation.state()),
                simulation.eventLog.toString());
    }

    @Provide
    Arbitrary<SimulationScript> scriptsWithInvalidChanges() {
        return scripts(6);
    }

    @Property(tries = 1000, seed = "62")
    void invalidChanges_neverTakeEffectAndLaterChangesDo(
            @ForAll("scriptsWithInvalidChanges") SimulationScript script) {
        ReplicaSimulation simulation = new ReplicaSimulation(script);
        simulation.run(DURATION, FAULTS_END, Optional.empty());
        Map<ResourceKey, Object> newest =
                EffectiveStateChecker.values(
                        simulation
                                .newest()
                                .stateAt(
                                        simulation.newest().version(),
                                        script.subscription(),
                                        false));
        Map<ResourceKey, Object> state = EffectiveStateChecker.values(simulation.state());
        Set<ResourceKey> modifiedByInvalid = new HashSet<>();
        for (long version = 1; version <= simulation.newest().version(); version++) {
            if (simulation.newest().isInvalid(version)) {
                modifiedByInvalid.addAll(simulation.newest().modifiedBy(version));
            } else {
                modifiedByInvalid.removeAll(simulation.newest().modifiedBy(version));
            }
        }
        newest.keySet().removeAll(modifiedByInvalid);
        state.keySet().removeAll(modifiedByInvalid);
        assertEquals(newest, state, simulation.eventLog.toString());
    }

    @Property(tries = 1000, seed = "63")
    void restart_resumesFromTheStoredState(
            @ForAll("anyScript") SimulationScript script,
            @ForAll("anyScript") SimulationScript after,
            @ForAll boolean stopsCleanly) {
        ReplicaSimulation first = new ReplicaSimulation(script);
        first.run(DURATION, FAULTS_END, Optional.empty());
        if (stopsCleanly) {
            first.stop();
        }
        ReplicaSimulation second = new ReplicaSimulation(after, first.newest());
        second.run(DURATION, FAULTS_END, Optional.ofNullable(first.stored));
        assertEquals(
                second.newest().id(),
                second.metrics().position().log(),
                second.eventLog.toString());
        assertEquals(
                EffectiveStateChecker.values(
                        second.newest()
                                .stateAt(second.newest().version(), after.subscription(), false)),
                EffectiveStateChecker.values(second.state()),
                second.eventLog.toString());
    }

    /**
     * One to three outages. In each outage, the same three of the four processes fail, each up to
     * 50 ms after the previous one. A change is published at the start of each fault.
     */
    @Provide
    Arbitrary<SimulationScript> threeFailedProcesses() {
        Arbitrary<FaultKind> faultKinds =
                Arbitraries.of(FaultKind.SILENT, FaultKind.KILLED, FaultKind.CUT_OFF);
        Arbitrary<List<FaultWindow>> simultaneousFaults =
                Combinators.combine(
                                faultKinds.list().ofSize(3),
                                faultPhaseInstants(),
                                Arbitraries.longs().between(1, 20 * SECOND),
                                Arbitraries.longs().between(0, 50_000))
                        .as(
                                (threeKinds, from, length, stagger) -> {
                                    List<FaultWindow> windows = new ArrayList<>();
                                    for (int i = 0; i < threeKinds.size(); i++) {
                                        windows.add(
                                                new FaultWindow(
                                                        i,
                                                        threeKinds.get(i),
                                                        from + i * stagger,
                                                        from + length));
                                    }
                                    return windows;
                                });
        return Combinators.combine(
                        simultaneousFaults.list().ofMinSize(1).ofMaxSize(3),
                        faultPhaseInstants().list().ofMaxSize(10),
                        Arbitraries.integers().between(0, PROCESSES - 1),
                        Arbitraries.longs())
                .as(
                        (outages, changes, healthyProcess, seed) -> {
                            List<Long> all = new ArrayList<>(changes);
                            List<FaultWindow> windows = new ArrayList<>();
                            outages.forEach(
                                    each ->
                                            each.forEach(
                                                    window -> {
                                                        all.add(window.from());
                                                        windows.add(
                                                                new FaultWindow(
                                                                        (window.process()
                                                                                        + healthyProcess
                                                                                        + 1)
                                                                                % PROCESSES,
                                                                        window.fault(),
                                                                        window.from(),
                                                                        window.until()));
                                                    }));
                            return new SimulationScript(
                                    windows,
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
        simulation.run(DURATION, FAULTS_END, Optional.empty());
        assertAllChangesEffectiveWithin(simulation, ReplicaSimulation.PROPAGATION_DEADLINE_MICROS);
    }

    private static void assertAllChangesEffectiveWithin(
            ReplicaSimulation simulation, long propagationDeadlineMicros) {
        // The deadline doesn't apply to the first state, which is fetched in pages at a limited
        // rate.
        long firstStateAt = simulation.effectiveAt.get((long) ReplicaSimulation.INITIAL_CHANGES);
        simulation.publishedAt.forEach(
                (version, published) -> {
                    Long at = simulation.effectiveAt.get(version);
                    long due = Math.max(published, firstStateAt) + propagationDeadlineMicros;
                    assertTrue(
                            simulation.isOutsideSubscription(version) || (at != null && at <= due),
                            "version "
                                    + version
                                    + " of "
                                    + published
                                    + " effective at "
                                    + at
                                    + ": "
                                    + simulation.eventLog);
                });
    }

    /** All four processes fail in the same period. */
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
                        (faultKinds, from, length, seed) -> {
                            List<FaultWindow> windows = new ArrayList<>();
                            for (int i = 0; i < PROCESSES; i++) {
                                windows.add(
                                        new FaultWindow(i, faultKinds.get(i), from, from + length));
                            }
                            return new SimulationScript(
                                    windows,
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
    void recoveryOfAllProcesses_changesTakeEffectByTheDeadline(
            @ForAll("allProcessesFailed") SimulationScript script) {
        ReplicaSimulation simulation = new ReplicaSimulation(script);
        simulation.run(DURATION, FAULTS_END, Optional.empty());
        long recoveredAt = script.faults().get(0).until();
        long version = simulation.newest().version();
        Long at = simulation.effectiveAt.get(version);
        assertTrue(
                simulation.isOutsideSubscription(version)
                        || (at != null
                                && at
                                        <= recoveredAt
                                                + ReplicaSimulation.PROPAGATION_DEADLINE_MICROS),
                "recovered at "
                        + recoveredAt
                        + ", effective at "
                        + at
                        + ": "
                        + simulation.eventLog);
    }

    @Property(tries = 1000, seed = "66")
    void anyHistory_callRateIsBounded(@ForAll("anyScript") SimulationScript script) {
        ReplicaSimulation simulation =
                new ReplicaSimulation(
                        new SimulationScript(
                                script.faults(),
                                List.of(),
                                List.of(),
                                script.stalls(),
                                Optional.empty(),
                                script.clockSetBackAt(),
                                script.subscription(),
                                false,
                                1000,
                                script.seed()));
        simulation.run(DURATION, FAULTS_END, Optional.empty());
        assertCallsWithinFourSeconds(simulation, MAX_CALLS);
    }

    @Property(tries = 300, seed = "67")
    void outageOfAllProcesses_callRateIsBounded(
            @ForAll("allProcessesFailed") SimulationScript script) {
        ReplicaSimulation simulation = new ReplicaSimulation(script);
        simulation.run(DURATION, FAULTS_END, Optional.empty());
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
                            + simulation.eventLog);
        }
    }
}
