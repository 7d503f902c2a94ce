// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import ottergauge.protocol.Address;
import ottergauge.replica.ModelControlProcess.FaultKind;
import ottergauge.replica.ModelControlProcess.FaultWindow;
import ottergauge.resources.ChangePage;
import ottergauge.resources.LogPosition;
import ottergauge.resources.Resource;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.ResourceValidator;
import ottergauge.resources.SnapshotPage;
import ottergauge.resources.VersionUnavailable;

/**
 * Simulates one replica and four control processes in three regions, over a network that loses,
 * delays, duplicates and reorders messages. An {@link EffectiveStateChecker} checks each state that
 * becomes effective against the log.
 */
final class ReplicaSimulation {

    static final long SECOND = 1_000_000;
    static final long PROPAGATION_DEADLINE_MICROS = 4 * SECOND;

    private static final List<String> REGIONS = List.of("r1", "r1", "r2", "r3");
    static final int INITIAL_CHANGES = 6;

    private static final long MAX_LATENCY_MICROS = 20_000;
    private static final long MAX_SLOW_LATENCY_MICROS = 500_000;
    private static final long CLOCK_SET_BACK_MICROS = 3_600 * SECOND;
    private static final int LOSS_ONE_IN = 12;
    private static final int DUPLICATE_ONE_IN = 6;
    private static final int BYTES_PER_RESOURCE = 100;
    private static final long BYTES_PER_SECOND = 20_000;

    /** A long poll to which a process has not responded yet. */
    private record Poll(long call, ModelControlProcess process, LogPosition after) {}

    final List<String> eventLog = new ArrayList<>();

    /**
     * For each version of the newest log, the time in microseconds at which this version or a later
     * one first became effective at the node.
     */
    final Map<Long, Long> effectiveAt = new HashMap<>();

    /** The time at which each version of the newest log was published. */
    final Map<Long, Long> publishedAt = new HashMap<>();

    final List<Long> calls = new ArrayList<>();
    StoredState stored;

    private final SimulationScript script;
    private final SplittableRandom random;
    private final SplittableRandom changes;
    private final Map<String, ModelLog> logs = new HashMap<>();
    private final List<ModelControlProcess> processes = new ArrayList<>();
    private final SimulatedClock clock = new SimulatedClock();
    private final Map<Long, Poll> polls = new TreeMap<>();
    private final Replica replica;
    private EffectiveStateChecker checker;
    private ModelLog newest;
    private long outstandingCall;

    /** The time until which messages are randomly lost and duplicated. */
    private long networkUnreliableUntil;

    /** Creates a simulation with a new log that has a few changes. */
    ReplicaSimulation(SimulationScript script) {
        this(script, new ModelLog("first"));
        for (int i = 0; i < INITIAL_CHANGES; i++) {
            ModelChanges.append(newest, changes, false);
        }
        processes.forEach(each -> each.receiveChanges(newest, newest.version()));
    }

    /** Creates a simulation with an existing log. */
    ReplicaSimulation(SimulationScript script, ModelLog log) {
        this.script = script;
        random = new SplittableRandom(script.seed());
        changes = new SplittableRandom(~script.seed());
        newest = log;
        logs.put(newest.id(), newest);
        for (int i = 0; i < REGIONS.size(); i++) {
            processes.add(
                    new ModelControlProcess(
                            new ControlEndpoint(new Address("127.0.0.1", 9001 + i), REGIONS.get(i)),
                            newest,
                            script.retained()));
        }
        replica =
                new Replica(
                        new ReplicaConfig(
                                "n1",
                                "r1",
                                processes.stream().map(ModelControlProcess::address).toList(),
                                script.subscription(),
                                PROPAGATION_DEADLINE_MICROS,
                                BYTES_PER_SECOND,
                                SECOND,
                                ReplicaLimits.DEFAULT),
                        script.seed(),
                        ResourceValidator::firstError,
                        this::execute);
    }

    /**
     * Runs the simulation.
     *
     * @param length the simulated duration in microseconds
     * @param networkReliableFrom the time in microseconds from which the network no longer loses
     *     and duplicates messages
     * @param stored the stored state from which the node starts; empty if the node has none
     */
    void run(long length, long networkReliableFrom, Optional<StoredState> stored) {
        networkUnreliableUntil = script.networkUnreliable() ? networkReliableFrom : 0;
        boolean restoresOther =
                stored.filter(
                                each ->
                                        !each.subscription().equals(script.subscription())
                                                || !logs.containsKey(each.position().log()))
                        .isPresent();
        checker =
                new EffectiveStateChecker(
                        logs,
                        script.subscription(),
                        script.invalidChanges().isEmpty(),
                        restoresOther,
                        eventLog);
        script.changes().forEach(at -> clock.schedule(at, () -> publish(false)));
        script.invalidChanges().forEach(at -> clock.schedule(at, () -> publish(true)));
        script.newLogAt().ifPresent(at -> clock.schedule(at, this::startNewLog));
        script.faults()
                .forEach(
                        window -> {
                            clock.schedule(window.from(), () -> startFault(window));
                            clock.schedule(window.until(), () -> endFault(window));
                        });
        replica.start(clock.now(), stored);
        clock.runUntil(length);
    }

    void stop() {
        replica.handle(clock.now(), new ReplicaEvent.Stopped());
    }

    ReplicaMetrics metrics() {
        return replica.metrics(nodeClock());
    }

    ModelLog newest() {
        return newest;
    }

    Map<ResourceKey, Resource> state() {
        return checker.state();
    }

    /** Whether no part of the change with this version matches the subscription. */
    boolean isOutsideSubscription(long version) {
        return !newest.hasChanges(version - 1, version, script.subscription());
    }

    // ---- The log and its processes

    private void publish(boolean withInvalidValue) {
        ModelChanges.append(newest, changes, withInvalidValue);
        eventLog.add(clock.now() + " published " + newest.version());
        publishedAt.put(newest.version(), clock.now());
        ModelLog log = newest;
        long version = newest.version();
        processes.forEach(
                each ->
                        clock.schedule(
                                clock.now() + random.nextLong(MAX_LATENCY_MICROS),
                                () -> receiveChanges(each, log, version)));
    }

    private void receiveChanges(ModelControlProcess process, ModelLog log, long version) {
        if (!hasFault(process, FaultKind.CUT_OFF)
                && !hasFault(process, FaultKind.LAGGING)
                && !hasFault(process, FaultKind.KILLED)
                && log == newest) {
            process.receiveChanges(log, version);
            replyToPolls(process);
        }
    }

    private void startNewLog() {
        newest = new ModelLog(newest.id() + "-anew");
        logs.put(newest.id(), newest);
        publishedAt.clear();
        effectiveAt.clear();
        eventLog.add(clock.now() + " new log");
        publish(false);
    }

    private boolean hasFault(ModelControlProcess process, FaultKind fault) {
        return script.faults().stream()
                .anyMatch(
                        window ->
                                window.fault() == fault
                                        && window.from() <= clock.now()
                                        && clock.now() < window.until()
                                        && processes.get(window.process()) == process);
    }

    private void startFault(FaultWindow window) {
        eventLog.add(clock.now() + " " + window);
        ModelControlProcess process = processes.get(window.process());
        if (window.fault() == FaultKind.KILLED) {
            List.copyOf(polls.values()).stream()
                    .filter(poll -> poll.process() == process)
                    .forEach(
                            poll -> {
                                polls.remove(poll.call());
                                deliver(process, new ReplicaEvent.CallFailed(poll.call()));
                            });
        }
    }

    private void endFault(FaultWindow window) {
        receiveChanges(processes.get(window.process()), newest, newest.version());
    }

    private void replyToPolls(ModelControlProcess process) {
        List.copyOf(polls.values()).stream()
                .filter(
                        poll ->
                                poll.process() == process
                                        && process.hasChanges(poll.after(), script.subscription()))
                .forEach(this::reply);
    }

    // ---- Calls

    private void execute(ReplicaEffect effect) {
        if (effect instanceof ReplicaEffect.PollChanges call) {
            callStarted(call.call());
            sendCall(call.call(), call.endpoint(), process -> pollReceived(process, call));
        } else if (effect instanceof ReplicaEffect.FetchSnapshotPage call) {
            callStarted(call.call());
            sendCall(call.call(), call.endpoint(), process -> snapshotQueryReceived(process, call));
        } else if (effect instanceof ReplicaEffect.CancelCall call) {
            assertEquals(outstandingCall, call.call(), "cancels a call that is not outstanding");
            outstandingCall = 0;
        } else if (effect instanceof ReplicaEffect.StartTimer timer) {
            assertTrue(timer.delayMicros() >= 0, "negative delay: " + timer);
            apply(clock.now() + timer.delayMicros(), new ReplicaEvent.TimerFired(timer.timer()));
        } else if (effect instanceof ReplicaEffect.ApplyState applyState) {
            eventLog.add(clock.now() + " effective " + applyState.change().position());
            checker.apply(applyState.change());
        } else if (effect instanceof ReplicaEffect.StoreState storeState) {
            stored = storeState.state();
            assertEquals(replica.metrics(clock.now()).position(), stored.position());
            Map<ResourceKey, Resource> resources = new TreeMap<>();
            stored.resources().forEach(each -> resources.put(each.key(), each));
            assertEquals(
                    EffectiveStateChecker.values(checker.state()),
                    EffectiveStateChecker.values(resources));
        } else if (effect instanceof ReplicaEffect.Report report) {
            eventLog.add(clock.now() + " " + report.report());
        }
    }

    private void callStarted(long call) {
        assertEquals(0, outstandingCall, "two calls are outstanding");
        outstandingCall = call;
        calls.add(clock.now());
    }

    /** Delivers a call to the process at an address, unless the call is lost. */
    private void sendCall(long call, Address endpoint, Consumer<ModelControlProcess> onArrival) {
        ModelControlProcess process =
                processes.stream()
                        .filter(each -> each.address().address().equals(endpoint))
                        .findFirst()
                        .orElseThrow();
        if (hasFault(process, FaultKind.KILLED)) {
            deliver(process, new ReplicaEvent.CallFailed(call));
        } else if (!isLost(process)) {
            clock.schedule(
                    clock.now() + latency(process),
                    () -> {
                        if (hasFault(process, FaultKind.KILLED)) {
                            deliver(process, new ReplicaEvent.CallFailed(call));
                        } else if (!hasFault(process, FaultKind.SILENT)
                                && !hasFault(process, FaultKind.CUT_OFF)) {
                            onArrival.accept(process);
                        }
                    });
        }
    }

    private void pollReceived(ModelControlProcess process, ReplicaEffect.PollChanges call) {
        LogPosition after = call.query().after();
        Optional<VersionUnavailable> versionUnavailable = process.versionUnavailable(after);
        if (versionUnavailable.isPresent()) {
            deliver(
                    process,
                    new ReplicaEvent.VersionUnavailableReceived(
                            call.call(), versionUnavailable.get()));
            return;
        }
        polls.put(call.call(), new Poll(call.call(), process, after));
        if (process.hasChanges(after, script.subscription())) {
            reply(polls.get(call.call()));
        } else {
            clock.schedule(
                    clock.now() + call.query().waitMicros(),
                    () -> {
                        if (polls.containsKey(call.call())) {
                            reply(polls.get(call.call()));
                        }
                    });
        }
    }

    private void reply(Poll poll) {
        polls.remove(poll.call());
        Optional<VersionUnavailable> versionUnavailable =
                poll.process().versionUnavailable(poll.after());
        if (versionUnavailable.isPresent()) {
            deliver(
                    poll.process(),
                    new ReplicaEvent.VersionUnavailableReceived(
                            poll.call(), versionUnavailable.get()));
            return;
        }
        ChangePage page = poll.process().changes(poll.after(), script.subscription());
        deliver(
                poll.process(),
                new ReplicaEvent.ChangesReceived(
                        poll.call(),
                        hasFault(poll.process(), FaultKind.CORRUPT)
                                ? ModelControlProcess.corrupt(page, random.nextInt(100))
                                : page));
    }

    private void snapshotQueryReceived(
            ModelControlProcess process, ReplicaEffect.FetchSnapshotPage call) {
        SnapshotPage page = process.snapshot(call.query().from(), script.subscription());
        SnapshotPage sent =
                hasFault(process, FaultKind.CORRUPT)
                        ? ModelControlProcess.corrupt(
                                page, call.query().from().isEmpty(), random.nextInt(100))
                        : page;
        deliver(
                process,
                new ReplicaEvent.SnapshotPageReceived(
                        call.call(), sent, (long) BYTES_PER_RESOURCE * page.resources().size()));
    }

    // ---- The network

    private long latency(ModelControlProcess process) {
        return 1_000
                + random.nextLong(
                        hasFault(process, FaultKind.SLOW)
                                ? MAX_SLOW_LATENCY_MICROS
                                : MAX_LATENCY_MICROS);
    }

    private boolean isLost(ModelControlProcess process) {
        return hasFault(process, FaultKind.SILENT)
                || hasFault(process, FaultKind.CUT_OFF)
                || (clock.now() < networkUnreliableUntil && random.nextInt(LOSS_ONE_IN) == 0);
    }

    private void deliver(ModelControlProcess process, ReplicaEvent reply) {
        if (!isLost(process)) {
            apply(clock.now() + latency(process), reply);
            if (clock.now() < networkUnreliableUntil && random.nextInt(DUPLICATE_ONE_IN) == 0) {
                apply(clock.now() + latency(process) + random.nextLong(3 * SECOND), reply);
            }
        }
    }

    // ---- The node

    private void apply(long at, ReplicaEvent event) {
        clock.schedule(
                at,
                () -> {
                    Optional<SimulationScript.Stall> stall =
                            script.stalls().stream()
                                    .filter(
                                            each ->
                                                    each.from() <= clock.now()
                                                            && clock.now() < each.until())
                                    .findFirst();
                    if (stall.isPresent()) {
                        clock.schedule(
                                stall.get().until() + random.nextLong(1_000), () -> handle(event));
                    } else {
                        handle(event);
                    }
                });
    }

    private void handle(ReplicaEvent event) {
        if (endsCall(event)) {
            outstandingCall = 0;
        }
        replica.handle(nodeClock(), event);
        LogPosition reached = replica.metrics(clock.now()).position();
        for (long version = 1;
                reached.log().equals(newest.id()) && version <= reached.version();
                version++) {
            effectiveAt.putIfAbsent(version, clock.now());
        }
    }

    private boolean endsCall(ReplicaEvent event) {
        return (event instanceof ReplicaEvent.ChangesReceived e && e.call() == outstandingCall)
                || (event instanceof ReplicaEvent.SnapshotPageReceived e2
                        && e2.call() == outstandingCall)
                || (event instanceof ReplicaEvent.VersionUnavailableReceived e3
                        && e3.call() == outstandingCall)
                || (event instanceof ReplicaEvent.CallFailed e4 && e4.call() == outstandingCall);
    }

    private long nodeClock() {
        return script.clockSetBackAt().filter(at -> at <= clock.now()).isPresent()
                ? clock.now() - CLOCK_SET_BACK_MICROS
                : clock.now();
    }
}
