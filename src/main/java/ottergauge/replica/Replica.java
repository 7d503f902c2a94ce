// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Function;
import ottergauge.protocol.Address;
import ottergauge.replica.ReplicaEffect.CallChanges;
import ottergauge.replica.ReplicaEffect.CallSnapshot;
import ottergauge.replica.ReplicaEffect.GiveUpCall;
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
    static final int MOST_CHANGES_BYTES = 64 * 1024;

    static final int LEAST_SNAPSHOT_BYTES = 4 * 1024;
    static final int MOST_SNAPSHOT_BYTES = 64 * 1024;

    /** An empty answer that came sooner than it should have is not worth another call at once. */
    static final long LEAST_GAP = 50_000;

    /** Control processes pace the pages of all nodes together: an answer may take some seconds. */
    static final long SNAPSHOT_WITHIN = 6_000_000;

    static final int MOST_SNAPSHOT_DOUBLINGS = 2;

    /** The longest pause before a state is fetched again that was too large. */
    static final long TOO_LARGE_PAUSE = 60_000_000;

    /** The longest time at another process before the first one is tried again. */
    static final long RETURN_AFTER = 90_000_000;

    private static final long MICROS_A_SECOND = 1_000_000;
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
    private final CallTimes times;
    private final ControlOrder order;
    private final StateInForce state;
    private Phase phase = Phase.FOLLOWING;

    /** The state that is being fetched; null before its first page. */
    private SnapshotAssembly assembly;

    /**
     * A process that has another log than the one that is followed, seen in this round; null for
     * none.
     */
    private ControlAddress otherLog;

    private long lastCall;

    /** The call that is out, if one is. */
    private long current = NONE;

    private long calledAt;
    private long waits;
    private long dueAt;
    private boolean graceGiven;

    /** Whether the process that is asked has answered before, so that a call there may wait. */
    private boolean answered;

    private boolean returnTimerRuns;

    /** Snapshots that were begun since changes could be followed. */
    private int snapshotsInARow;

    /** Calls for a page of a snapshot that had no answer in time, in a row. */
    private int slowPages;

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
        times = new CallTimes(config.within());
        order = new ControlOrder(config.node(), config.region(), config.addresses());
        state = new StateInForce(config, check, effects);
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
        if (event instanceof ReplicaEvent.ChangesRead e) {
            if (takes(e.call())) {
                changesRead(now, e.page());
            }
        } else if (event instanceof ReplicaEvent.SnapshotRead e) {
            if (takes(e.call())) {
                snapshotRead(now, e.page(), e.bytes());
            }
        } else if (event instanceof ReplicaEvent.TooOldRead e) {
            if (takes(e.call())) {
                tooOldRead(now, e.answer());
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
    public ReplicaFigures figures(long now) {
        return new ReplicaFigures(
                state.position().orElse(new LogPosition("", 0)),
                state.refused(),
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
        state.keepNow();
    }

    // ---- Calls
    // --------------------------------------------------------------------------------------

    private void ask(long now) {
        current = ++lastCall;
        calledAt = now;
        graceGiven = false;
        Address to = order.current().address();
        if (phase == Phase.SNAPSHOT_PAGES) {
            waits = 0;
            callWithin(now, SNAPSHOT_WITHIN << Math.min(slowPages, MOST_SNAPSHOT_DOUBLINGS));
            effects.accept(
                    new CallSnapshot(
                            current,
                            to,
                            new SnapshotQuery(
                                    Optional.ofNullable(assembly).map(each -> each.reached().log()),
                                    Optional.ofNullable(assembly).flatMap(SnapshotAssembly::next),
                                    snapshotBytes(),
                                    config.subscription(),
                                    config.node())));
        } else {
            waits = waitOfCall();
            boolean goesOn = answered && phase == Phase.FOLLOWING;
            callWithin(now, goesOn ? waits + times.silentAfter() : times.openingWithin());
            LogPosition after = followed().orElseThrow();
            effects.accept(
                    new CallChanges(
                            current,
                            to,
                            new ChangesQuery(
                                    after,
                                    waits,
                                    MOST_CHANGES_BYTES,
                                    config.subscription(),
                                    config.node(),
                                    config.region(),
                                    state.versionOf(after.log()),
                                    state.refused())));
        }
    }

    private long waitOfCall() {
        if (phase == Phase.CHANGES_SINCE_SNAPSHOT) {
            return 0;
        }
        long shortest = times.shortestWait();
        return answered
                ? shortest + random.nextLong(times.longestWait() - shortest + 1)
                : times.openingWait();
    }

    private void callWithin(long now, long within) {
        dueAt = now + within;
        effects.accept(new StartTimer(within, new ReplicaTimer.CallDue(current)));
    }

    private int snapshotBytes() {
        return (int)
                Math.max(
                        LEAST_SNAPSHOT_BYTES,
                        Math.min(MOST_SNAPSHOT_BYTES, config.bytesPerSecond()));
    }

    /** The position that is followed: of the state in force or of the one that is being fetched. */
    private Optional<LogPosition> followed() {
        return phase == Phase.FOLLOWING
                ? state.position()
                : Optional.ofNullable(assembly).map(SnapshotAssembly::reached);
    }

    private void giveUp() {
        if (current != NONE) {
            effects.accept(new GiveUpCall(current));
            current = NONE;
        }
    }

    private void callDue(long now, long call) {
        if (call != current) {
            return;
        }
        if (now - dueAt > times.silentAfter() && !graceGiven) {
            // The node itself stood still: an answer may be there that it has not read yet.
            graceGiven = true;
            effects.accept(new StartTimer(times.silentAfter(), new ReplicaTimer.CallDue(call)));
            return;
        }
        report(new ReplicaReport.CallSilent(order.current().address()));
        giveUp();
        if (phase == Phase.SNAPSHOT_PAGES) {
            slowPages++;
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
            order.beginRoundWith(otherLog);
            beginSnapshot(now);
        } else {
            pause(times.pause(order.roundFailed()));
        }
    }

    private void pause(long longest) {
        effects.accept(
                new StartTimer(
                        longest / 2 + random.nextLong(longest / 2 + 1),
                        new ReplicaTimer.PauseOver(lastCall)));
    }

    private void refuseAnswer(long now, String why) {
        report(new ReplicaReport.AnswerRefused(order.current().address(), why));
        askElsewhere(now);
    }

    // An answer that could be used: the node goes by this process now.
    private void answerTaken() {
        answered = true;
        otherLog = null;
        order.answered();
        if (!order.isAtFirst() && !returnTimerRuns) {
            returnTimerRuns = true;
            effects.accept(
                    new StartTimer(
                            RETURN_AFTER / 2 + random.nextLong(RETURN_AFTER / 2 + 1),
                            new ReplicaTimer.ReturnDue()));
        }
    }

    // ---- Timers
    // -------------------------------------------------------------------------------------

    private void timerFired(long now, ReplicaTimer timer) {
        if (timer instanceof ReplicaTimer.CallDue due) {
            callDue(now, due.call());
        } else if (timer instanceof ReplicaTimer.PauseOver over) {
            if (current == NONE && over.after() == lastCall) {
                resume(now);
            }
        } else if (timer instanceof ReplicaTimer.ReturnDue) {
            returnTimerRuns = false;
            returnToFirst(now);
        } else if (timer instanceof ReplicaTimer.KeepDue) {
            state.keepDue();
        }
    }

    private void resume(long now) {
        if (!answered) {
            order.beginRound();
        }
        ask(now);
    }

    // The call that is out is given up for it: the version that the node has is asked from
    // elsewhere.
    private void returnToFirst(long now) {
        if (order.isAtFirst() || !answered) {
            return;
        }
        if (phase == Phase.FOLLOWING) {
            giveUp();
            answered = false;
            order.returnToFirst();
            ask(now);
        } else {
            returnTimerRuns = true;
            effects.accept(new StartTimer(RETURN_AFTER, new ReplicaTimer.ReturnDue()));
        }
    }

    // ---- Changes
    // ------------------------------------------------------------------------------------

    private void changesRead(long now, ChangePage page) {
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
        Optional<String> fault = PageChecks.fault(page);
        if (fault.isPresent()) {
            refuseAnswer(now, fault.get());
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
        snapshotsInARow = 0;
        state.apply(page);
        askOn(now, asked, page);
    }

    private void caughtUpTo(long now, LogPosition asked, ChangePage page) {
        for (CheckedChange each : applyToAssembly(page)) {
            if (each.version() > asked.version()) {
                each.fault().ifPresent(fault -> state.refuse(each.version(), fault));
            }
        }
        if (isTooLarge()) {
            giveUpSnapshot();
        } else if (assembly.isWhole()) {
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

    private List<CheckedChange> applyToAssembly(ChangePage page) {
        List<CheckedChange> changes = CheckedChange.of(page, check);
        assembly.apply(changes, page.upTo().version());
        return changes;
    }

    private void askOn(long now, LogPosition asked, ChangePage page) {
        boolean advanced = page.upTo().version() > asked.version();
        if (!advanced && now - calledAt < Math.max(LEAST_GAP, waits)) {
            effects.accept(new StartTimer(LEAST_GAP, new ReplicaTimer.PauseOver(lastCall)));
        } else {
            ask(now);
        }
    }

    private void tooOldRead(long now, VersionUnavailable answer) {
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
        report(new ReplicaReport.SnapshotBegun(order.current().address()));
        if (snapshotsInARow++ == 0) {
            ask(now);
        } else {
            pause(times.pause(snapshotsInARow));
        }
    }

    private void snapshotRead(long now, SnapshotPage page, long bytes) {
        slowPages = 0;
        if (assembly != null && !page.at().log().equals(assembly.reached().log())) {
            otherLogSeen(now);
            return;
        }
        long least = assembly != null ? assembly.firstVersion() : state.versionOf(page.at().log());
        if (page.at().version() < least) {
            refuseAnswer(
                    now, "it has reached " + page.at().version() + " only, the node has " + least);
            return;
        }
        Optional<String> fault =
                PageChecks.fault(
                        page, Optional.ofNullable(assembly).flatMap(SnapshotAssembly::next));
        if (fault.isPresent()) {
            refuseAnswer(now, fault.get());
            return;
        }
        answerTaken();
        addPage(page);
        if (isTooLarge()) {
            giveUpSnapshot();
        } else if (assembly.isWhole()) {
            goByAssembly(now);
        } else if (assembly.hasAllPages()) {
            phase = Phase.CHANGES_SINCE_SNAPSHOT;
            ask(now);
        } else {
            effects.accept(
                    new StartTimer(
                            bytes * MICROS_A_SECOND / config.bytesPerSecond(),
                            new ReplicaTimer.PauseOver(lastCall)));
        }
    }

    private void addPage(SnapshotPage page) {
        if (assembly == null) {
            assembly = new SnapshotAssembly(page.at(), config.subscription(), check);
        }
        assembly.add(page).forEach(refused -> state.refuse(refused, page.at().version()));
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
        pause(TOO_LARGE_PAUSE);
    }

    private void report(ReplicaReport report) {
        effects.accept(new Report(report));
    }
}
