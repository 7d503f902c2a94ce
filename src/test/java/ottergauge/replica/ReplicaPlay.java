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
import ottergauge.replica.ModelProcess.Trouble;
import ottergauge.replica.ModelProcess.TroubleSpan;
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
final class ReplicaPlay {

    static final long SECOND = 1_000_000;
    static final long WITHIN = 4 * SECOND;

    /** The node stands still, and what comes meanwhile is handled after it in any order. */
    record Stall(long from, long until) {}

    /** All that is drawn for a play. */
    record Script(
            List<TroubleSpan> troubles,
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

    private static final long MOST_TRIP = 20_000;
    private static final long SLOW_TRIP = 500_000;
    private static final long SET_BACK = 3_600 * SECOND;
    private static final int LOSES = 12;
    private static final int DOUBLES = 6;
    private static final int BYTES_A_RESOURCE = 100;
    private static final long BYTES_PER_SECOND = 20_000;

    /** What happens at an instant, and in which order if several do. */
    private record Task(long at, long number, Runnable job) {}

    /** A call that a process keeps until it has news. */
    private record Poll(long call, ModelProcess process, LogPosition after) {}

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
    private final List<ModelProcess> processes = new ArrayList<>();
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
    ReplicaPlay(Script script) {
        this(script, new ModelLog("first"));
        for (int i = 0; i < FIRST_CHANGES; i++) {
            ModelChanges.append(newest, changes, false);
        }
        processes.forEach(each -> each.learn(newest, newest.version()));
    }

    /** A node before a log that is there. */
    ReplicaPlay(Script script, ModelLog log) {
        this.script = script;
        random = new SplittableRandom(script.seed());
        changes = new SplittableRandom(~script.seed());
        newest = log;
        logs.put(newest.id(), newest);
        for (int i = 0; i < REGIONS.size(); i++) {
            processes.add(
                    new ModelProcess(
                            new ControlAddress(new Address("127.0.0.1", 9001 + i), REGIONS.get(i)),
                            newest,
                            script.retained()));
        }
        replica =
                new Replica(
                        new ReplicaConfig(
                                "n1",
                                "r1",
                                processes.stream().map(ModelProcess::address).toList(),
                                script.subscription(),
                                WITHIN,
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
        script.troubles()
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

    ReplicaFigures figures() {
        return replica.figures(nodesClock());
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
                each ->
                        schedule(
                                now + random.nextLong(MOST_TRIP), () -> learn(each, log, version)));
    }

    private void learn(ModelProcess process, ModelLog log, long version) {
        if (!isIn(process, Trouble.CUT_OFF)
                && !isIn(process, Trouble.LAGGING)
                && !isIn(process, Trouble.KILLED)
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

    private boolean isIn(ModelProcess process, Trouble trouble) {
        return script.troubles().stream()
                .anyMatch(
                        span ->
                                span.trouble() == trouble
                                        && span.from() <= now
                                        && now < span.until()
                                        && processes.get(span.process()) == process);
    }

    private void begin(TroubleSpan span) {
        journal.add(now + " " + span);
        ModelProcess process = processes.get(span.process());
        if (span.trouble() == Trouble.KILLED) {
            List.copyOf(polls.values()).stream()
                    .filter(poll -> poll.process() == process)
                    .forEach(
                            poll -> {
                                polls.remove(poll.call());
                                deliver(process, new ReplicaEvent.CallFailed(poll.call()));
                            });
        }
    }

    private void end(TroubleSpan span) {
        learn(processes.get(span.process()), newest, newest.version());
    }

    private void answerPolls(ModelProcess process) {
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
        if (effect instanceof ReplicaEffect.CallChanges call) {
            begins(call.call());
            reach(call.call(), call.to(), process -> changesAsked(process, call));
        } else if (effect instanceof ReplicaEffect.CallSnapshot call) {
            begins(call.call());
            reach(call.call(), call.to(), process -> snapshotAsked(process, call));
        } else if (effect instanceof ReplicaEffect.GiveUpCall call) {
            assertEquals(callOut, call.call(), "gives up a call that is not out");
            callOut = 0;
        } else if (effect instanceof ReplicaEffect.StartTimer timer) {
            assertTrue(timer.delay() >= 0, "a timer runs backwards: " + timer);
            tell(now + timer.delay(), new ReplicaEvent.TimerFired(timer.timer()));
        } else if (effect instanceof ReplicaEffect.TakeOver takeOver) {
            takeOver(takeOver.change());
        } else if (effect instanceof ReplicaEffect.Keep keep) {
            kept = keep.state();
            assertEquals(replica.figures(now).position(), kept.position());
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
    private void reach(long call, Address to, Consumer<ModelProcess> arrives) {
        ModelProcess process =
                processes.stream()
                        .filter(each -> each.address().address().equals(to))
                        .findFirst()
                        .orElseThrow();
        if (isIn(process, Trouble.KILLED)) {
            deliver(process, new ReplicaEvent.CallFailed(call));
        } else if (!isLost(process)) {
            schedule(
                    now + trip(process),
                    () -> {
                        if (isIn(process, Trouble.KILLED)) {
                            deliver(process, new ReplicaEvent.CallFailed(call));
                        } else if (!isIn(process, Trouble.SILENT)
                                && !isIn(process, Trouble.CUT_OFF)) {
                            arrives.accept(process);
                        }
                    });
        }
    }

    private void changesAsked(ModelProcess process, ReplicaEffect.CallChanges call) {
        LogPosition after = call.query().after();
        Optional<VersionUnavailable> tooOld = process.tooOld(after);
        if (tooOld.isPresent()) {
            deliver(process, new ReplicaEvent.TooOldRead(call.call(), tooOld.get()));
            return;
        }
        polls.put(call.call(), new Poll(call.call(), process, after));
        if (process.hasNews(after, script.subscription())) {
            answer(polls.get(call.call()));
        } else {
            schedule(
                    now + call.query().waits(),
                    () -> {
                        if (polls.containsKey(call.call())) {
                            answer(polls.get(call.call()));
                        }
                    });
        }
    }

    private void answer(Poll poll) {
        polls.remove(poll.call());
        Optional<VersionUnavailable> tooOld = poll.process().tooOld(poll.after());
        if (tooOld.isPresent()) {
            deliver(poll.process(), new ReplicaEvent.TooOldRead(poll.call(), tooOld.get()));
            return;
        }
        ChangePage page = poll.process().changes(poll.after(), script.subscription());
        deliver(
                poll.process(),
                new ReplicaEvent.ChangesRead(
                        poll.call(),
                        isIn(poll.process(), Trouble.GARBLED)
                                ? ModelProcess.garbled(page, random.nextInt(100))
                                : page));
    }

    private void snapshotAsked(ModelProcess process, ReplicaEffect.CallSnapshot call) {
        SnapshotPage page = process.snapshot(call.query().from(), script.subscription());
        SnapshotPage sent =
                isIn(process, Trouble.GARBLED)
                        ? ModelProcess.garbled(
                                page, call.query().from().isEmpty(), random.nextInt(100))
                        : page;
        deliver(
                process,
                new ReplicaEvent.SnapshotRead(
                        call.call(), sent, (long) BYTES_A_RESOURCE * page.resources().size()));
    }

    // ---- The network
    // ----------------------------------------------------------------------------------

    private long trip(ModelProcess process) {
        return 1_000 + random.nextLong(isIn(process, Trouble.SLOW) ? SLOW_TRIP : MOST_TRIP);
    }

    private boolean isLost(ModelProcess process) {
        return isIn(process, Trouble.SILENT)
                || isIn(process, Trouble.CUT_OFF)
                || (now < networkIsBadUntil && random.nextInt(LOSES) == 0);
    }

    private void deliver(ModelProcess process, ReplicaEvent answer) {
        if (!isLost(process)) {
            tell(now + trip(process), answer);
            if (now < networkIsBadUntil && random.nextInt(DOUBLES) == 0) {
                tell(now + trip(process) + random.nextLong(3 * SECOND), answer);
            }
        }
    }

    // ---- The node
    // -------------------------------------------------------------------------------------

    private void tell(long at, ReplicaEvent event) {
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
        LogPosition reached = replica.figures(now).position();
        for (long version = 1;
                reached.log().equals(newest.id()) && version <= reached.version();
                version++) {
            inForceAt.putIfAbsent(version, now);
        }
    }

    private boolean endsCall(ReplicaEvent event) {
        return (event instanceof ReplicaEvent.ChangesRead e && e.call() == callOut)
                || (event instanceof ReplicaEvent.SnapshotRead e2 && e2.call() == callOut)
                || (event instanceof ReplicaEvent.TooOldRead e3 && e3.call() == callOut)
                || (event instanceof ReplicaEvent.CallFailed e4 && e4.call() == callOut);
    }

    private long nodesClock() {
        return script.clockBackAt().filter(at -> at <= now).isPresent() ? now - SET_BACK : now;
    }

    private void takeOver(StateChange change) {
        journal.add(now + " in force " + change.position());
        if (change.whole()) {
            assertEquals(null, state, "a whole state comes first and never again");
            state = new TreeMap<>();
        }
        assertNotNull(state, "a difference to no state");
        assertFalse(
                !change.whole() && change.puts().isEmpty() && change.deletes().isEmpty(),
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
        if (script.badChanges().isEmpty() && !(change.whole() && restoresOther)) {
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
