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
 * One replica and four control processes in three regions, in simulated time, over a network that
 * loses, delays, duplicates and reorders messages. An {@link EffectiveStateChecker} checks each
 * state that becomes effective against the log.
 */
final class ReplicaSimulation {

    static final long SECOND = 1_000_000;
    static final long PROPAGATION_DEADLINE_MICROS = 4 * SECOND;

    private static final List<String> REGIONS = List.of("r1", "r1", "r2", "r3");
    static final int FIRST_CHANGES = 6;

    private static final long MAX_TRIP_MICROS = 20_000;
    private static final long SLOW_TRIP_MICROS = 500_000;
    private static final long CLOCK_SET_BACK_MICROS = 3_600 * SECOND;
    private static final int LOSS_ONE_IN = 12;
    private static final int DUPLICATE_ONE_IN = 6;
    private static final int BYTES_PER_RESOURCE = 100;
    private static final long BYTES_PER_SECOND = 20_000;

    /** A long poll that a process has yet to answer. */
    private record Poll(long call, ModelControlProcess process, LogPosition after) {}

    final List<String> journal = new ArrayList<>();

    /** When the node had each version of the newest log, or a later one. */
    final Map<Long, Long> effectiveAt = new HashMap<>();

    /** When each version of the newest log was published. */
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

    /** Until when messages are lost, delayed and duplicated. */
    private long networkIsBadUntil;

    /** A node without stored state, and a log with a few changes in it. */
    ReplicaSimulation(SimulationScript script) {
        this(script, new ModelLog("first"));
        for (int i = 0; i < FIRST_CHANGES; i++) {
            ModelChanges.append(newest, changes, false);
        }
        processes.forEach(each -> each.learn(newest, newest.version()));
    }

    /** A node, and an existing log. */
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
     * Runs for a time.
     *
     * @param goodFrom when the network loses, delays and duplicates no more
     * @param stored the state that the node starts from
     */
    void run(long length, long goodFrom, Optional<StoredState> stored) {
        networkIsBadUntil = script.networkIsBad() ? goodFrom : 0;
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
                        script.badChanges().isEmpty(),
                        restoresOther,
                        journal);
        script.changes().forEach(at -> clock.schedule(at, () -> publish(false)));
        script.badChanges().forEach(at -> clock.schedule(at, () -> publish(true)));
        script.newLogAt().ifPresent(at -> clock.schedule(at, this::beginNewLog));
        script.faults()
                .forEach(
                        span -> {
                            clock.schedule(span.from(), () -> begin(span));
                            clock.schedule(span.until(), () -> end(span));
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

    /** Whether the change with this version has nothing for the subscription. */
    boolean isNothing(long version) {
        return !newest.hasChanges(version - 1, version, script.subscription());
    }

    // ---- The log and its processes

    private void publish(boolean bad) {
        ModelChanges.append(newest, changes, bad);
        journal.add(clock.now() + " published " + newest.version());
        publishedAt.put(newest.version(), clock.now());
        ModelLog log = newest;
        long version = newest.version();
        processes.forEach(
                each ->
                        clock.schedule(
                                clock.now() + random.nextLong(MAX_TRIP_MICROS),
                                () -> learn(each, log, version)));
    }

    private void learn(ModelControlProcess process, ModelLog log, long version) {
        if (!isIn(process, FaultKind.CUT_OFF)
                && !isIn(process, FaultKind.LAGGING)
                && !isIn(process, FaultKind.KILLED)
                && log == newest) {
            process.learn(log, version);
            answerPolls(process);
        }
    }

    private void beginNewLog() {
        newest = new ModelLog(newest.id() + "-anew");
        logs.put(newest.id(), newest);
        publishedAt.clear();
        effectiveAt.clear();
        journal.add(clock.now() + " new log");
        publish(false);
    }

    private boolean isIn(ModelControlProcess process, FaultKind fault) {
        return script.faults().stream()
                .anyMatch(
                        span ->
                                span.fault() == fault
                                        && span.from() <= clock.now()
                                        && clock.now() < span.until()
                                        && processes.get(span.process()) == process);
    }

    private void begin(FaultWindow span) {
        journal.add(clock.now() + " " + span);
        ModelControlProcess process = processes.get(span.process());
        if (span.fault() == FaultKind.KILLED) {
            List.copyOf(polls.values()).stream()
                    .filter(poll -> poll.process() == process)
                    .forEach(
                            poll -> {
                                polls.remove(poll.call());
                                deliver(process, new ReplicaEvent.CallFailed(poll.call()));
                            });
        }
    }

    private void end(FaultWindow span) {
        learn(processes.get(span.process()), newest, newest.version());
    }

    private void answerPolls(ModelControlProcess process) {
        List.copyOf(polls.values()).stream()
                .filter(
                        poll ->
                                poll.process() == process
                                        && process.hasChanges(poll.after(), script.subscription()))
                .forEach(this::answer);
    }

    // ---- Calls

    private void execute(ReplicaEffect effect) {
        if (effect instanceof ReplicaEffect.PollChanges call) {
            begins(call.call());
            reach(call.call(), call.endpoint(), process -> pollReceived(process, call));
        } else if (effect instanceof ReplicaEffect.FetchSnapshotPage call) {
            begins(call.call());
            reach(call.call(), call.endpoint(), process -> snapshotQueryReceived(process, call));
        } else if (effect instanceof ReplicaEffect.CancelCall call) {
            assertEquals(outstandingCall, call.call(), "cancels a call that is not outstanding");
            outstandingCall = 0;
        } else if (effect instanceof ReplicaEffect.StartTimer timer) {
            assertTrue(timer.delayMicros() >= 0, "negative delay: " + timer);
            apply(clock.now() + timer.delayMicros(), new ReplicaEvent.TimerFired(timer.timer()));
        } else if (effect instanceof ReplicaEffect.ApplyState applyState) {
            journal.add(clock.now() + " effective " + applyState.change().position());
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
            journal.add(clock.now() + " " + report.report());
        }
    }

    private void begins(long call) {
        assertEquals(0, outstandingCall, "two calls are outstanding");
        outstandingCall = call;
        calls.add(clock.now());
    }

    /** Delivers a call to the process at an address, unless it is lost. */
    private void reach(long call, Address endpoint, Consumer<ModelControlProcess> arrives) {
        ModelControlProcess process =
                processes.stream()
                        .filter(each -> each.address().address().equals(endpoint))
                        .findFirst()
                        .orElseThrow();
        if (isIn(process, FaultKind.KILLED)) {
            deliver(process, new ReplicaEvent.CallFailed(call));
        } else if (!isLost(process)) {
            clock.schedule(
                    clock.now() + trip(process),
                    () -> {
                        if (isIn(process, FaultKind.KILLED)) {
                            deliver(process, new ReplicaEvent.CallFailed(call));
                        } else if (!isIn(process, FaultKind.SILENT)
                                && !isIn(process, FaultKind.CUT_OFF)) {
                            arrives.accept(process);
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
            answer(polls.get(call.call()));
        } else {
            clock.schedule(
                    clock.now() + call.query().waitMicros(),
                    () -> {
                        if (polls.containsKey(call.call())) {
                            answer(polls.get(call.call()));
                        }
                    });
        }
    }

    private void answer(Poll poll) {
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
                        isIn(poll.process(), FaultKind.CORRUPT)
                                ? ModelControlProcess.corrupt(page, random.nextInt(100))
                                : page));
    }

    private void snapshotQueryReceived(
            ModelControlProcess process, ReplicaEffect.FetchSnapshotPage call) {
        SnapshotPage page = process.snapshot(call.query().from(), script.subscription());
        SnapshotPage sent =
                isIn(process, FaultKind.CORRUPT)
                        ? ModelControlProcess.corrupt(
                                page, call.query().from().isEmpty(), random.nextInt(100))
                        : page;
        deliver(
                process,
                new ReplicaEvent.SnapshotPageReceived(
                        call.call(), sent, (long) BYTES_PER_RESOURCE * page.resources().size()));
    }

    // ---- The network

    private long trip(ModelControlProcess process) {
        return 1_000
                + random.nextLong(
                        isIn(process, FaultKind.SLOW) ? SLOW_TRIP_MICROS : MAX_TRIP_MICROS);
    }

    private boolean isLost(ModelControlProcess process) {
        return isIn(process, FaultKind.SILENT)
                || isIn(process, FaultKind.CUT_OFF)
                || (clock.now() < networkIsBadUntil && random.nextInt(LOSS_ONE_IN) == 0);
    }

    private void deliver(ModelControlProcess process, ReplicaEvent answer) {
        if (!isLost(process)) {
            apply(clock.now() + trip(process), answer);
            if (clock.now() < networkIsBadUntil && random.nextInt(DUPLICATE_ONE_IN) == 0) {
                apply(clock.now() + trip(process) + random.nextLong(3 * SECOND), answer);
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
        return script.clockBackAt().filter(at -> at <= clock.now()).isPresent()
                ? clock.now() - CLOCK_SET_BACK_MICROS
                : clock.now();
    }
}
