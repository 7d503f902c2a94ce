// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Function;
import ottergauge.protocol.Address;
import ottergauge.replica.ReplicaEffect.CancelCall;
import ottergauge.replica.ReplicaEffect.FetchSnapshotPage;
import ottergauge.replica.ReplicaEffect.PollChanges;
import ottergauge.replica.ReplicaEffect.Report;
import ottergauge.replica.ReplicaEffect.StartTimer;
import ottergauge.resources.Change;
import ottergauge.resources.ChangePage;
import ottergauge.resources.FieldError;
import ottergauge.resources.LogPosition;
import ottergauge.resources.SnapshotPage;
import ottergauge.resources.VersionUnavailable;

/**
 * Follows the log of a group of control processes: one call out at a time, at one process, until
 * that is lost. It resumes by the position that it has, and takes a snapshot only where no process
 * can go on from there.
 *
 * <p>Within one log it never goes back: a process that has not reached the node's version is not
 * followed. A process with another log is, once none can be reached that has the node's.
 */
public final class Replica {

    /** Bytes of changes that a control process sends at once, unless one change has more. */
    static final int MAX_CHANGES_BYTES = 64 * 1024;

    static final int MIN_SNAPSHOT_BYTES = 4 * 1024;
    static final int MAX_SNAPSHOT_BYTES = 64 * 1024;

    /** An empty answer that came sooner than it should have is not worth another call at once. */
    static final long MIN_POLL_GAP_MICROS = 50_000;

    /** Control processes pace the pages of all nodes together: an answer may take some seconds. */
    static final long SNAPSHOT_PAGE_TIMEOUT_MICROS = 6_000_000;

    static final int MAX_SNAPSHOT_TIMEOUT_DOUBLINGS = 2;

    /** The longest pause before a state is fetched again that was too large. */
    static final long TOO_LARGE_BACKOFF_MICROS = 60_000_000;

    /** The longest time at another process before the first one is tried again. */
    static final long FAIL_BACK_DELAY_MICROS = 90_000_000;

    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long NONE = 0;

    private enum Phase {
        FOLLOWING,
        SNAPSHOT_PAGES,
        CHANGES_SINCE_SNAPSHOT
    }

    private final ReplicaConfig config;
    private final Function<Change, Optional<FieldError>> check;
    private final Consumer<ReplicaEffect> effects;
    private final SplittableRandom random;
    private final PollTimeouts times;
    private final ControlEndpointSelector order;
    private final EffectiveState state;
    private Phase phase = Phase.FOLLOWING;

    /** The state that is being fetched; null before its first page. */
    private SnapshotAssembly assembly;

    /**
     * A process that has another log than the one that is followed, seen in this round; null for
     * none.
     */
    private ControlEndpoint otherLog;

    private long lastCall;

    /** The call that is out, if one is. */
    private long current = NONE;

    private long calledAt;
    private long waitMicros;
    private long dueAt;
    private boolean graceGiven;

    /** Whether the process that is asked has answered before, so that a call there may wait. */
    private boolean answered;

    private boolean returnTimerRuns;

    /** Snapshots that were begun since changes could be followed. */
    private int consecutiveSnapshots;

    /** Calls for a page of a snapshot that had no answer in time, in a row. */
    private int consecutivePageTimeouts;

    private long confirmedAt;
    private boolean stopped;

    /**
     * A replica that has not begun; {@code check} says why the node can't take a change over, if it
     * can't.
     */
    public Replica(
            ReplicaConfig config,
            long seed,
            Function<Change, Optional<FieldError>> check,
            Consumer<ReplicaEffect> effects) {
        this.config = config;
        this.check = check;
        this.effects = effects;
        random = new SplittableRandom(seed);
        times = new PollTimeouts(config.propagationDeadlineMicros());
        order = new ControlEndpointSelector(config.node(), config.region(), config.addresses());
        state = new EffectiveState(config, check, effects);
    }

    /** Begins, with the state that the node's last process kept, if there is one. */
    public void start(long now, Optional<StoredState> stored) {
        confirmedAt = now;
        boolean resumes = stored.isPresent() && state.restore(stored.get());
        if (!resumes) {
            phase = Phase.SNAPSHOT_PAGES;
        }
        ask(now);
    }

    /** Takes one event. */
    public void handle(long now, ReplicaEvent event) {
        if (stopped) {
            return;
        }
        if (event instanceof ReplicaEvent.ChangesReceived e) {
            if (takes(e.call())) {
                changesReceived(now, e.page());
            }
        } else if (event instanceof ReplicaEvent.SnapshotPageReceived e) {
            if (takes(e.call())) {
                snapshotPageReceived(now, e.page(), e.bytes());
            }
        } else if (event instanceof ReplicaEvent.VersionUnavailableReceived e) {
            if (takes(e.call())) {
                versionUnavailableReceived(now, e.answer());
            }
        } else if (event instanceof ReplicaEvent.CallFailed e) {
            if (takes(e.call())) {
                askElsewhere(now);
            }
        } else if (event instanceof ReplicaEvent.TimerFired e) {
            timerFired(now, e.timer());
        } else if (event instanceof ReplicaEvent.Stopped) {
            stop();
        }
    }

    /** How the replica stands. */
    public ReplicaMetrics metrics(long now) {
        return new ReplicaMetrics(
                state.position().orElse(new LogPosition("", 0)),
                state.rejected(),
                Math.max(0, now - confirmedAt),
                state.size(),
                state.bytes());
    }

    // Whether an answer is the one to the call that is out, which it ends.
    private boolean takes(long call) {
        if (call != current || call == NONE) {
            return false;
        }
        current = NONE;
        return true;
    }

    private void stop() {
        stopped = true;
        giveUp();
        state.storeIfChanged();
    }

    // ---- Calls
    // --------------------------------------------------------------------------------------

    private void ask(long now) {
        current = ++lastCall;
        calledAt = now;
        graceGiven = false;
        Address endpoint = order.current().address();
        if (phase == Phase.SNAPSHOT_PAGES) {
            waitMicros = 0;
            callWithin(
                    now,
                    SNAPSHOT_PAGE_TIMEOUT_MICROS
                            << Math.min(consecutivePageTimeouts, MAX_SNAPSHOT_TIMEOUT_DOUBLINGS));
            effects.accept(
                    new FetchSnapshotPage(
                            current,
                            endpoint,
                            new SnapshotQuery(
                                    Optional.ofNullable(assembly).map(each -> each.reached().log()),
                                    Optional.ofNullable(assembly).flatMap(SnapshotAssembly::next),
                                    snapshotBytes(),
                                    config.subscription(),
                                    config.node())));
        } else {
            waitMicros = waitOfCall();
            boolean goesOn = answered && phase == Phase.FOLLOWING;
            callWithin(
                    now,
                    goesOn
                            ? waitMicros + times.responseGraceMicros()
                            : times.initialTimeoutMicros());
            LogPosition after = followed().orElseThrow();
            effects.accept(
                    new PollChanges(
                            current,
                            endpoint,
                            new ChangesQuery(
                                    after,
                                    waitMicros,
                                    MAX_CHANGES_BYTES,
                                    config.subscription(),
                                    config.node(),
                                    config.region(),
                                    state.versionOf(after.log()),
                                    state.rejected())));
        }
    }

    private long waitOfCall() {
        if (phase == Phase.CHANGES_SINCE_SNAPSHOT) {
            return 0;
        }
        long shortest = times.minWaitMicros();
        return answered
                ? shortest + random.nextLong(times.maxWaitMicros() - shortest + 1)
                : times.initialWaitMicros();
    }

    private void callWithin(long now, long propagationDeadlineMicros) {
        dueAt = now + propagationDeadlineMicros;
        effects.accept(
                new StartTimer(propagationDeadlineMicros, new ReplicaTimer.CallTimeout(current)));
    }

    private int snapshotBytes() {
        return (int)
                Math.max(
                        MIN_SNAPSHOT_BYTES,
                        Math.min(MAX_SNAPSHOT_BYTES, config.snapshotBytesPerSecond()));
    }

    /** The position that is followed: of the state in force or of the one that is being fetched. */
    private Optional<LogPosition> followed() {
        return phase == Phase.FOLLOWING
                ? state.position()
                : Optional.ofNullable(assembly).map(SnapshotAssembly::reached);
    }

    private void giveUp() {
        if (current != NONE) {
            effects.accept(new CancelCall(current));
            current = NONE;
        }
    }

    private void callDue(long now, long call) {
        if (call != current) {
            return;
        }
        if (now - dueAt > times.responseGraceMicros() && !graceGiven) {
            // The node itself stood still: an answer may be there that it has not read yet.
            graceGiven = true;
            effects.accept(
                    new StartTimer(
                            times.responseGraceMicros(), new ReplicaTimer.CallTimeout(call)));
            return;
        }
        report(new ReplicaReport.CallTimedOut(order.current().address()));
        giveUp();
        if (phase == Phase.SNAPSHOT_PAGES) {
            consecutivePageTimeouts++;
        }
        askElsewhere(now);
    }

    // The process that was asked can't be used now: the next one of the round is, or all after a
    // pause.
    private void askElsewhere(long now) {
        answered = false;
        if (order.next()) {
            ask(now);
        } else if (otherLog != null) {
            order.restartAt(otherLog);
            beginSnapshot(now);
        } else {
            pause(times.pause(order.recordFailedRound()));
        }
    }

    private void pause(long max) {
        effects.accept(
                new StartTimer(
                        max / 2 + random.nextLong(max / 2 + 1),
                        new ReplicaTimer.DelayElapsed(lastCall)));
    }

    private void refuseAnswer(long now, String reason) {
        report(new ReplicaReport.ResponseRejected(order.current().address(), reason));
        askElsewhere(now);
    }

    // An answer that could be used: the node goes by this process now.
    private void answerTaken() {
        answered = true;
        otherLog = null;
        order.answered();
        if (!order.isPreferred() && !returnTimerRuns) {
            returnTimerRuns = true;
            effects.accept(
                    new StartTimer(
                            FAIL_BACK_DELAY_MICROS / 2
                                    + random.nextLong(FAIL_BACK_DELAY_MICROS / 2 + 1),
                            new ReplicaTimer.FailBackDue()));
        }
    }

    // ---- Timers
    // -------------------------------------------------------------------------------------

    private void timerFired(long now, ReplicaTimer timer) {
        if (timer instanceof ReplicaTimer.CallTimeout due) {
            callDue(now, due.call());
        } else if (timer instanceof ReplicaTimer.DelayElapsed over) {
            if (current == NONE && over.after() == lastCall) {
                resume(now);
            }
        } else if (timer instanceof ReplicaTimer.FailBackDue) {
            returnTimerRuns = false;
            returnToPreferred(now);
        } else if (timer instanceof ReplicaTimer.StoreStateDue) {
            state.onStoreTimer();
        }
    }

    private void resume(long now) {
        if (!answered) {
            order.restart();
        }
        ask(now);
    }

    // The call that is out is given up for it: the version that the node has is asked from
    // elsewhere.
    private void returnToPreferred(long now) {
        if (order.isPreferred() || !answered) {
            return;
        }
        if (phase == Phase.FOLLOWING) {
            giveUp();
            answered = false;
            order.returnToPreferred();
            ask(now);
        } else {
            returnTimerRuns = true;
            effects.accept(new StartTimer(FAIL_BACK_DELAY_MICROS, new ReplicaTimer.FailBackDue()));
        }
    }

    // ---- Changes
    // ------------------------------------------------------------------------------------

    private void changesReceived(long now, ChangePage page) {
        LogPosition asked = followed().orElseThrow();
        if (!page.upTo().log().equals(asked.log())) {
            otherLogSeen(now);
            return;
        }
        if (page.upTo().version() < asked.version()) {
            refuseAnswer(
                    now,
                    "it has reached "
                            + page.upTo().version()
                            + " only, the node has "
                            + asked.version());
            return;
        }
        Optional<String> error = PageValidator.error(page);
        if (error.isPresent()) {
            refuseAnswer(now, error.get());
            return;
        }
        answerTaken();
        if (phase == Phase.FOLLOWING) {
            followedTo(now, asked, page);
        } else {
            caughtUpTo(now, asked, page);
        }
    }

    private void followedTo(long now, LogPosition asked, ChangePage page) {
        confirmedAt = now;
        consecutiveSnapshots = 0;
        state.apply(page);
        askOn(now, asked, page);
    }

    private void caughtUpTo(long now, LogPosition asked, ChangePage page) {
        for (ValidatedChange each : applyToAssembly(page)) {
            if (each.version() > asked.version()) {
                each.error().ifPresent(error -> state.reject(each.version(), error));
            }
        }
        if (isTooLarge()) {
            giveUpSnapshot();
        } else if (assembly.isComplete()) {
            goByAssembly(now);
        } else {
            askOn(now, asked, page);
        }
    }

    private void goByAssembly(long now) {
        confirmedAt = now;
        state.replaceWith(assembly);
        assembly = null;
        phase = Phase.FOLLOWING;
        ask(now);
    }

    private List<ValidatedChange> applyToAssembly(ChangePage page) {
        List<ValidatedChange> changes = ValidatedChange.of(page, check);
        assembly.apply(changes, page.upTo().version());
        return changes;
    }

    private void askOn(long now, LogPosition asked, ChangePage page) {
        boolean advanced = page.upTo().version() > asked.version();
        if (!advanced && now - calledAt < Math.max(MIN_POLL_GAP_MICROS, waitMicros)) {
            effects.accept(
                    new StartTimer(MIN_POLL_GAP_MICROS, new ReplicaTimer.DelayElapsed(lastCall)));
        } else {
            ask(now);
        }
    }

    private void versionUnavailableReceived(long now, VersionUnavailable answer) {
        Optional<LogPosition> followed = followed();
        if (followed.isEmpty() || !answer.log().equals(followed.get().log())) {
            otherLogSeen(now);
        } else if (answer.newest() < followed.get().version()) {
            refuseAnswer(
                    now,
                    "it has reached "
                            + answer.newest()
                            + " only, the node has "
                            + followed.get().version());
        } else {
            beginSnapshot(now);
        }
    }

    // Another process may still have the log that is followed.
    private void otherLogSeen(long now) {
        if (otherLog == null) {
            otherLog = order.current();
        }
        askElsewhere(now);
    }

    // ---- Snapshots
    // ----------------------------------------------------------------------------------

    // A snapshot that was begun a moment ago and led to nothing is not begun again at once.
    private void beginSnapshot(long now) {
        phase = Phase.SNAPSHOT_PAGES;
        assembly = null;
        otherLog = null;
        answered = true;
        report(new ReplicaReport.SnapshotStarted(order.current().address()));
        if (consecutiveSnapshots++ == 0) {
            ask(now);
        } else {
            pause(times.pause(consecutiveSnapshots));
        }
    }

    private void snapshotPageReceived(long now, SnapshotPage page, long bytes) {
        consecutivePageTimeouts = 0;
        if (assembly != null && !page.at().log().equals(assembly.reached().log())) {
            otherLogSeen(now);
            return;
        }
        long min = assembly != null ? assembly.firstVersion() : state.versionOf(page.at().log());
        if (page.at().version() < min) {
            refuseAnswer(
                    now, "it has reached " + page.at().version() + " only, the node has " + min);
            return;
        }
        Optional<String> error =
                PageValidator.error(
                        page, Optional.ofNullable(assembly).flatMap(SnapshotAssembly::next));
        if (error.isPresent()) {
            refuseAnswer(now, error.get());
            return;
        }
        answerTaken();
        addPage(page);
        if (isTooLarge()) {
            giveUpSnapshot();
        } else if (assembly.isComplete()) {
            goByAssembly(now);
        } else if (assembly.hasAllPages()) {
            phase = Phase.CHANGES_SINCE_SNAPSHOT;
            ask(now);
        } else {
            effects.accept(
                    new StartTimer(
                            bytes * MICROS_PER_SECOND / config.snapshotBytesPerSecond(),
                            new ReplicaTimer.DelayElapsed(lastCall)));
        }
    }

    private void addPage(SnapshotPage page) {
        if (assembly == null) {
            assembly = new SnapshotAssembly(page.at(), config.subscription(), check);
        }
        assembly.add(page).forEach(rejected -> state.reject(rejected, page.at().version()));
    }

    private boolean isTooLarge() {
        return assembly.size() > config.limits().resources()
                || assembly.bytes() > config.limits().bytes();
    }

    // It would be as large a moment later: fetched again at once, it would cost all that it cost
    // before.
    private void giveUpSnapshot() {
        report(new ReplicaReport.StateTooLarge(assembly.size(), assembly.bytes(), config.limits()));
        assembly = null;
        phase = Phase.SNAPSHOT_PAGES;
        pause(TOO_LARGE_BACKOFF_MICROS);
    }

    private void report(ReplicaReport report) {
        effects.accept(new Report(report));
    }
}
