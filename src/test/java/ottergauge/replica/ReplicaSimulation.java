// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import ottergauge.protocol.Address;
import ottergauge.replica.ModelControlProcess.FaultKind;
import ottergauge.replica.ModelControlProcess.FaultWindow;
import ottergauge.resources.Change;
import ottergauge.resources.ChangePage;
import ottergauge.resources.LogPosition;
import ottergauge.resources.Resource;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.ResourceValidator;
import ottergauge.resources.SnapshotPage;
import ottergauge.resources.Subscription;
import ottergauge.resources.VersionUnavailable;

/**
 * One replica before four control processes in three regions, on made-up time, over a network that
 * loses, delays, doubles and reorders. Each state that comes in force is held against the log: it
 * is one version's, whole, and told by its differences.
 */
final class ReplicaSimulation {

    static final long SECOND = 1_000_000;
    static final long PROPAGATION_DEADLINE_MICROS = 4 * SECOND;

    /** The node stands still, and what comes meanwhile is handled after it in any order. */
    record Stall(long from, long until) {}

    /** All that is drawn for a play. */
    record Script(
            List<FaultWindow> faults,
            List<Long> changes,
            List<Long> badChanges,
            List<Stall> stalls,
            Optional<Long> newLogAt,
            Optional<Long> clockBackAt,
            Subscription subscription,
            boolean networkIsBad,
            int retained,
            long seed) {}

    private static final List<String> REGIONS = List.of("r1", "r1", "r2", "r3");
    static final int FIRST_CHANGES = 6;

    private static final long MAX_TRIP = 20_000;
    private static final long SLOW_TRIP = 500_000;
    private static final long SET_BACK = 3_600 * SECOND;
    private static final int LOSES = 12;
    private static final int DOUBLES = 6;
    private static final int BYTES_PER_RESOURCE = 100;
    private static final long BYTES_PER_SECOND = 20_000;

    /** What happens at an instant, and in which order if several do. */
    private record Task(long at, long number, Runnable job) {}

    /** A call that a process keeps until it has news. */
    private record Poll(long call, ModelControlProcess process, LogPosition after) {}

    final List<String> journal = new ArrayList<>();

    /** When the node had each version of the newest log, or a later one. */
    final Map<Long, Long> inForceAt = new HashMap<>();

    /** When each version of the newest log was published. */
    final Map<Long, Long> publishedAt = new HashMap<>();

    final List<Long> calls = new ArrayList<>();
    StoredState kept;

    private final Script script;
    private final SplittableRandom random;
    private final SplittableRandom changes;
    private final Map<String, ModelLog> logs = new HashMap<>();
    private final List<ModelControlProcess> processes = new ArrayList<>();
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::at).thenComparingLong(Task::number));
    private final Map<Long, Poll> polls = new TreeMap<>();
    private final Replica replica;
    private Map<ResourceKey, Resource> state;
    private LogPosition position;
    private ModelLog newest;
    private long now;
    private long lastTask;
    private long callOut;

    /** Until when messages are lost, delayed and doubled. */
    private long networkIsBadUntil;

    private boolean restoresOther;

    /** A node that begins with nothing, before a log with a few changes in it. */
    ReplicaSimulation(Script script) {
        this(script, new ModelLog("first"));
        for (int i = 0; i < FIRST_CHANGES; i++) {
            ModelChanges.append(newest, changes, false);
        }
        processes.forEach(each -> each.learn(newest, newest.version()));
    }

    /** A node before a log that is there. */
    ReplicaSimulation(Script script, ModelLog log) {
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
                        this::carryOut);
    }

    /**
     * Plays until an instant, the last part with a good network, from a state that was kept if
     * there is one.
     */
    void run(long length, long goodFrom, Optional<StoredState> stored) {
        networkIsBadUntil = script.networkIsBad() ? goodFrom : 0;
        restoresOther =
                stored.filter(
                                each ->
                                        !each.subscription().equals(script.subscription())
                                                || !logs.containsKey(each.position().log()))
                        .isPresent();
        script.changes().forEach(at -> schedule(at, () -> publish(false)));
        script.badChanges().forEach(at -> schedule(at, () -> publish(true)));
        script.newLogAt().ifPresent(at -> schedule(at, this::beginNewLog));
        script.faults()
                .forEach(
                        span -> {
                            schedule(span.from(), () -> begin(span));
                            schedule(span.until(), () -> end(span));
                        });
        replica.start(now, stored);
        while (!tasks.isEmpty() && tasks.peek().at() <= length) {
            Task task = tasks.poll();
            now = task.at();
            task.job().run();
        }
        now = length;
    }

    void stop() {
        replica.handle(now, new ReplicaEvent.Stopped());
    }

    ReplicaMetrics metrics() {
        return replica.metrics(nodesClock());
    }

    ModelLog newest() {
        return newest;
    }

    Map<ResourceKey, Resource> state() {
        return state;
    }

    /** Whether the node has nothing to follow of the change with this version. */
    boolean isNothing(long version) {
        return !newest.hasNews(version - 1, version, script.subscription());
    }

    private void schedule(long at, Runnable job) {
        tasks.add(new Task(Math.max(now, at), lastTask++, job));
    }

    // ---- The log and its processes
    // --------------------------------------------------------------------

    private void publish(boolean bad) {
        ModelChanges.append(newest, changes, bad);
        journal.add(now + " published " + newest.version());
        publishedAt.put(newest.version(), now);
        ModelLog log = newest;
        long version = newest.version();
        processes.forEach(
                each -> schedule(now + random.nextLong(MAX_TRIP), () -> learn(each, log, version)));
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
        inForceAt.clear();
        journal.add(now + " log begins anew");
        publish(false);
    }

    private boolean isIn(ModelControlProcess process, FaultKind fault) {
        return script.faults().stream()
                .anyMatch(
                        span ->
                                span.fault() == fault
                                        && span.from() <= now
                                        && now < span.until()
                                        && processes.get(span.process()) == process);
    }

    private void begin(FaultWindow span) {
        journal.add(now + " " + span);
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
                                        && process.hasNews(poll.after(), script.subscription()))
                .forEach(this::answer);
    }

    // ---- Calls
    // ----------------------------------------------------------------------------------------

    private void carryOut(ReplicaEffect effect) {
        if (effect instanceof ReplicaEffect.PollChanges call) {
            begins(call.call());
            reach(call.call(), call.endpoint(), process -> changesAsked(process, call));
        } else if (effect instanceof ReplicaEffect.FetchSnapshotPage call) {
            begins(call.call());
            reach(call.call(), call.endpoint(), process -> snapshotAsked(process, call));
        } else if (effect instanceof ReplicaEffect.CancelCall call) {
            assertEquals(callOut, call.call(), "gives up a call that is not out");
            callOut = 0;
        } else if (effect instanceof ReplicaEffect.StartTimer timer) {
            assertTrue(timer.delayMicros() >= 0, "a timer runs backwards: " + timer);
            apply(now + timer.delayMicros(), new ReplicaEvent.TimerFired(timer.timer()));
        } else if (effect instanceof ReplicaEffect.ApplyState applyState) {
            applyState(applyState.change());
        } else if (effect instanceof ReplicaEffect.StoreState keep) {
            kept = keep.state();
            assertEquals(replica.metrics(now).position(), kept.position());
            Map<ResourceKey, Resource> resources = new TreeMap<>();
            kept.resources().forEach(each -> resources.put(each.key(), each));
            assertEquals(values(state), values(resources));
        } else if (effect instanceof ReplicaEffect.Report report) {
            journal.add(now + " " + report.report());
        }
    }

    private void begins(long call) {
        assertEquals(0, callOut, "two calls are out");
        callOut = call;
        calls.add(now);
    }

    /** Brings a call to the process at an address, or not. */
    private void reach(long call, Address endpoint, Consumer<ModelControlProcess> arrives) {
        ModelControlProcess process =
                processes.stream()
                        .filter(each -> each.address().address().equals(endpoint))
                        .findFirst()
                        .orElseThrow();
        if (isIn(process, FaultKind.KILLED)) {
            deliver(process, new ReplicaEvent.CallFailed(call));
        } else if (!isLost(process)) {
            schedule(
                    now + trip(process),
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

    private void changesAsked(ModelControlProcess process, ReplicaEffect.PollChanges call) {
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
        if (process.hasNews(after, script.subscription())) {
            answer(polls.get(call.call()));
        } else {
            schedule(
                    now + call.query().waitMicros(),
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
                        isIn(poll.process(), FaultKind.GARBLED)
                                ? ModelControlProcess.garbled(page, random.nextInt(100))
                                : page));
    }

    private void snapshotAsked(ModelControlProcess process, ReplicaEffect.FetchSnapshotPage call) {
        SnapshotPage page = process.snapshot(call.query().from(), script.subscription());
        SnapshotPage sent =
                isIn(process, FaultKind.GARBLED)
                        ? ModelControlProcess.garbled(
                                page, call.query().from().isEmpty(), random.nextInt(100))
                        : page;
        deliver(
                process,
                new ReplicaEvent.SnapshotPageReceived(
                        call.call(), sent, (long) BYTES_PER_RESOURCE * page.resources().size()));
    }

    // ---- The network
    // ----------------------------------------------------------------------------------

    private long trip(ModelControlProcess process) {
        return 1_000 + random.nextLong(isIn(process, FaultKind.SLOW) ? SLOW_TRIP : MAX_TRIP);
    }

    private boolean isLost(ModelControlProcess process) {
        return isIn(process, FaultKind.SILENT)
                || isIn(process, FaultKind.CUT_OFF)
                || (now < networkIsBadUntil && random.nextInt(LOSES) == 0);
    }

    private void deliver(ModelControlProcess process, ReplicaEvent answer) {
        if (!isLost(process)) {
            apply(now + trip(process), answer);
            if (now < networkIsBadUntil && random.nextInt(DOUBLES) == 0) {
                apply(now + trip(process) + random.nextLong(3 * SECOND), answer);
            }
        }
    }

    // ---- The node
    // -------------------------------------------------------------------------------------

    private void apply(long at, ReplicaEvent event) {
        schedule(
                at,
                () -> {
                    Optional<Stall> stall =
                            script.stalls().stream()
                                    .filter(each -> each.from() <= now && now < each.until())
                                    .findFirst();
                    if (stall.isPresent()) {
                        schedule(stall.get().until() + random.nextLong(1_000), () -> handle(event));
                    } else {
                        handle(event);
                    }
                });
    }

    private void handle(ReplicaEvent event) {
        if (endsCall(event)) {
            callOut = 0;
        }
        replica.handle(nodesClock(), event);
        LogPosition reached = replica.metrics(now).position();
        for (long version = 1;
                reached.log().equals(newest.id()) && version <= reached.version();
                version++) {
            inForceAt.putIfAbsent(version, now);
        }
    }

    private boolean endsCall(ReplicaEvent event) {
        return (event instanceof ReplicaEvent.ChangesReceived e && e.call() == callOut)
                || (event instanceof ReplicaEvent.SnapshotPageReceived e2 && e2.call() == callOut)
                || (event instanceof ReplicaEvent.VersionUnavailableReceived e3
                        && e3.call() == callOut)
                || (event instanceof ReplicaEvent.CallFailed e4 && e4.call() == callOut);
    }

    private long nodesClock() {
        return script.clockBackAt().filter(at -> at <= now).isPresent() ? now - SET_BACK : now;
    }

    private void applyState(StateChange change) {
        journal.add(now + " in force " + change.position());
        if (change.full()) {
            assertEquals(null, state, "a whole state comes first and never again");
            state = new TreeMap<>();
        }
        assertNotNull(state, "a difference to no state");
        assertFalse(
                !change.full() && change.puts().isEmpty() && change.deletes().isEmpty(),
                "nothing is taken over");
        assertGoesForward(change.position());
        for (Resource resource : change.puts()) {
            Resource before = state.put(resource.key(), resource);
            assertNotEquals(
                    resource.value(), before == null ? null : before.value(), "no difference");
        }
        for (Change.Delete delete : change.deletes()) {
            assertNotNull(state.remove(delete.key()), "deletes what is not there");
        }
        position = change.position();
        if (script.badChanges().isEmpty() && !(change.full() && restoresOther)) {
            assertEquals(
                    values(
                            logs.get(position.log())
                                    .stateAt(position.version(), script.subscription(), false)),
                    values(state),
                    "not the state of " + position + ": " + journal);
        }
        assertTrue(
                state.values().stream().noneMatch(each -> ModelChanges.isBad(each.value())),
                "a refused value is in force");
    }

    private void assertGoesForward(LogPosition next) {
        assertTrue(logs.containsKey(next.log()) || restoresOther, "nobody's log");
        if (position != null && position.log().equals(next.log())) {
            assertTrue(next.version() >= position.version(), "goes back to " + next);
        }
    }

    static Map<ResourceKey, Object> values(Map<ResourceKey, Resource> state) {
        Map<ResourceKey, Object> values = new TreeMap<>();
        state.forEach((key, resource) -> values.put(key, resource.value()));
        return values;
    }
}
