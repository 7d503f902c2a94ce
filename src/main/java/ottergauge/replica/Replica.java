// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Function;
import ottergauge.replica.ReplicaEffect.FetchSnapshotPage;
import ottergauge.replica.ReplicaEffect.PollChanges;
import ottergauge.replica.ReplicaEffect.Report;
import ottergauge.resources.Change;
import ottergauge.resources.ChangePage;
import ottergauge.resources.FieldError;
import ottergauge.resources.LogPosition;
import ottergauge.resources.SnapshotPage;
import ottergauge.resources.VersionUnavailable;

/**
 * Replicates the state of a group of control processes. Polls one of them for changes, one call at
 * a time. If that process fails, the replica fails over to the next one and resumes from the
 * position that it has reached. It fetches a snapshot only if it has no complete state, if the
 * process that it calls no longer has the changes after its position, or if no process has its log.
 *
 * <p>Within one log, the version never decreases: the replica skips a process that has not reached
 * the node's version. It switches to another log only if no reachable process has the current one.
 *
 * <p>A state machine without I/O: it handles events and emits effects, in order, to the consumer
 * that was passed to its constructor. Not thread-safe. All times are in microseconds.
 */
public final class Replica {

    /** The maximum bytes of changes in one response, unless the first change alone is larger. */
    static final int MAX_CHANGES_BYTES = 64 * 1024;

    /** The longest back-off before the replica again fetches a state that was too large. */
    static final long TOO_LARGE_BACKOFF_MICROS = 60_000_000;

    /** The purpose of the next call. */
    private enum Phase {
        /** Polls for the changes after the position of the effective state. */
        FOLLOWING,
        /** Fetches the pages of a snapshot. */
        FETCHING_SNAPSHOT,
        /** Polls for the changes between the versions of the snapshot's first and newest pages. */
        CATCHING_UP
    }

    private final ReplicaConfig config;
    private final Function<Change, Optional<FieldError>> check;
    private final Consumer<ReplicaEffect> effects;
    private final PollTimeouts timeouts;
    private final CallScheduler calls;
    private final ControlSession session;
    private final EffectiveState state;
    private final SnapshotFetch snapshot;

    private Phase phase = Phase.FOLLOWING;
    private long confirmedAt;
    private boolean stopped;

    /**
     * Creates a replica; {@link #start} starts it.
     *
     * @param seed seeds the jitter of waits and back-offs
     * @param check returns why the node can't apply a change; empty if it can
     * @param effects receives the effects in the order in which they have to be carried out
     */
    public Replica(
            ReplicaConfig config,
            long seed,
            Function<Change, Optional<FieldError>> check,
            Consumer<ReplicaEffect> effects) {
        this.config = config;
        this.check = check;
        this.effects = effects;
        SplittableRandom random = new SplittableRandom(seed);
        timeouts = new PollTimeouts(config.propagationDeadlineMicros());
        calls = new CallScheduler(timeouts, random, effects);
        session =
                new ControlSession(
                        new ControlEndpointSelector(
                                config.node(), config.region(), config.endpoints()),
                        random,
                        effects);
        state = new EffectiveState(config, check, effects);
        snapshot = new SnapshotFetch(config, check);
    }

    /** Starts from the state that the node's previous process stored, if there is one. */
    public void start(long now, Optional<StoredState> stored) {
        confirmedAt = now;
        boolean resumes = stored.isPresent() && state.restore(stored.get());
        if (!resumes) {
            phase = Phase.FETCHING_SNAPSHOT;
        }
        call(now);
    }

    /** Handles one event; a response to a call that is no longer outstanding is ignored. */
    public void handle(long now, ReplicaEvent event) {
        if (stopped) {
            return;
        }
        if (event instanceof ReplicaEvent.ChangesReceived e) {
            if (calls.complete(e.call())) {
                changesReceived(now, e.page());
            }
        } else if (event instanceof ReplicaEvent.SnapshotPageReceived e) {
            if (calls.complete(e.call())) {
                snapshotPageReceived(now, e.page(), e.bytes());
            }
        } else if (event instanceof ReplicaEvent.VersionUnavailableReceived e) {
            if (calls.complete(e.call())) {
                versionUnavailableReceived(now, e.response());
            }
        } else if (event instanceof ReplicaEvent.CallFailed e) {
            if (calls.complete(e.call())) {
                failOver(now);
            }
        } else if (event instanceof ReplicaEvent.TimerFired e) {
            timerFired(now, e.timer());
        } else if (event instanceof ReplicaEvent.Stopped) {
            stop();
        }
    }

    /** The position, age and size of the effective state. */
    public ReplicaMetrics metrics(long now) {
        return new ReplicaMetrics(
                state.position().orElse(new LogPosition("", 0)),
                state.rejectedVersion(),
                Math.max(0, now - confirmedAt),
                state.size(),
                state.bytes());
    }

    private void stop() {
        stopped = true;
        calls.cancel();
        state.storeIfChanged();
    }

    private void timerFired(long now, ReplicaTimer timer) {
        if (timer instanceof ReplicaTimer.CallTimeout timeout) {
            if (calls.hasTimedOut(now, timeout.call())) {
                callTimedOut(now);
            }
        } else if (timer instanceof ReplicaTimer.DelayElapsed delay) {
            if (calls.isNextCallDue(delay.afterCall())) {
                session.resume();
                call(now);
            }
        } else if (timer instanceof ReplicaTimer.FailBackDue) {
            failBackDue(now);
        } else if (timer instanceof ReplicaTimer.StoreStateDue) {
            state.storeStateDue();
        }
    }

    // ---- Calls

    private void call(long now) {
        if (phase == Phase.FETCHING_SNAPSHOT) {
            fetchSnapshotPage(now);
        } else {
            pollChanges(now);
        }
    }

    private void fetchSnapshotPage(long now) {
        long call = calls.begin(now, 0, snapshot.timeoutMicros());
        effects.accept(new FetchSnapshotPage(call, session.address(), snapshot.query()));
    }

    private void pollChanges(long now) {
        boolean catchesUp = phase == Phase.CATCHING_UP;
        long waitMicros = catchesUp ? 0 : calls.drawWaitMicros(session.isResponsive());
        boolean longPoll = session.isResponsive() && !catchesUp;
        long timeoutMicros =
                longPoll
                        ? waitMicros + timeouts.responseGraceMicros()
                        : timeouts.initialTimeoutMicros();
        long call = calls.begin(now, waitMicros, timeoutMicros);
        LogPosition after = polledPosition().orElseThrow();
        effects.accept(
                new PollChanges(
                        call,
                        session.address(),
                        new ChangesQuery(
                                after,
                                waitMicros,
                                MAX_CHANGES_BYTES,
                                config.subscription(),
                                config.node(),
                                config.region(),
                                state.versionIn(after.log()),
                                state.rejectedVersion())));
    }

    /**
     * The position after which to poll for changes: that of the effective state or of the snapshot.
     */
    private Optional<LogPosition> polledPosition() {
        return phase == Phase.FOLLOWING ? state.position() : snapshot.position();
    }

    private void callTimedOut(long now) {
        report(new ReplicaReport.CallTimedOut(session.address()));
        calls.cancel();
        if (phase == Phase.FETCHING_SNAPSHOT) {
            snapshot.recordTimeout();
        }
        failOver(now);
    }

    private void failOver(long now) {
        switch (session.failOver()) {
            case NEXT_ENDPOINT -> call(now);
            case OTHER_LOG -> startSnapshot(now);
            case ROUND_FAILED ->
                    calls.backOff(timeouts.maxBackOffMicros(session.recordFailedRound()));
        }
    }

    // Polls the preferred process at once. If a snapshot is being fetched, the fail-back timer is
    // started again instead.
    private void failBackDue(long now) {
        if (!session.isFailBackDue()) {
            return;
        }
        if (phase == Phase.FOLLOWING) {
            calls.cancel();
            session.failBack();
            call(now);
        } else {
            session.postponeFailBack();
        }
    }

    private void rejectResponse(long now, ResponseError error) {
        report(new ReplicaReport.ResponseRejected(session.address(), error));
        failOver(now);
    }

    private void otherLogReceived(long now) {
        session.recordOtherLog();
        failOver(now);
    }

    // ---- Changes

    private void changesReceived(long now, ChangePage page) {
        LogPosition polled = polledPosition().orElseThrow();
        LogPosition upTo = page.upTo();
        if (!upTo.log().equals(polled.log())) {
            otherLogReceived(now);
            return;
        }
        Optional<ResponseError> error =
                upTo.version() < polled.version()
                        ? Optional.of(
                                new ResponseError.StaleVersion(upTo.version(), polled.version()))
                        : PageValidator.error(page);
        if (error.isPresent()) {
            rejectResponse(now, error.get());
            return;
        }
        session.recordResponse();
        if (phase == Phase.FOLLOWING) {
            confirmedAt = now;
            snapshot.recordFollowed();
            state.apply(page);
            pollAgain(now, polled, page);
        } else {
            catchUp(now, polled, page);
        }
    }

    private void catchUp(long now, LogPosition polled, ChangePage page) {
        SnapshotAssembly assembly = snapshot.assembly().orElseThrow();
        List<ValidatedChange> changes = ValidatedChange.of(page, check);
        assembly.apply(changes, page.upTo().version());
        for (ValidatedChange change : changes) {
            if (change.version() > polled.version()
                    && change instanceof ValidatedChange.Invalid invalid) {
                state.reject(invalid.version(), invalid.error());
            }
        }
        if (snapshot.isTooLarge()) {
            abandonSnapshot(assembly);
        } else if (assembly.isComplete()) {
            follow(now, assembly);
        } else {
            pollAgain(now, polled, page);
        }
    }

    // Delays the next poll if the process responded early and without changes.
    private void pollAgain(long now, LogPosition polled, ChangePage page) {
        boolean advanced = page.upTo().version() > polled.version();
        if (!advanced && calls.endedEarly(now)) {
            calls.delayNextCall(CallScheduler.MIN_POLL_GAP_MICROS);
        } else {
            call(now);
        }
    }

    private void versionUnavailableReceived(long now, VersionUnavailable response) {
        Optional<LogPosition> polled = polledPosition();
        if (polled.isEmpty() || !response.log().equals(polled.get().log())) {
            otherLogReceived(now);
        } else if (response.newest() < polled.get().version()) {
            rejectResponse(
                    now, new ResponseError.StaleVersion(response.newest(), polled.get().version()));
        } else {
            startSnapshot(now);
        }
    }

    // ---- Snapshots

    // Delays a snapshot if no page of changes was applied since the previous snapshot was started.
    private void startSnapshot(long now) {
        phase = Phase.FETCHING_SNAPSHOT;
        session.beginSnapshot();
        report(new ReplicaReport.SnapshotStarted(session.address()));
        int consecutiveStarts = snapshot.restart();
        if (consecutiveStarts == 1) {
            call(now);
        } else {
            calls.backOff(timeouts.maxBackOffMicros(consecutiveStarts));
        }
    }

    private void snapshotPageReceived(long now, SnapshotPage page, long bytes) {
        snapshot.recordPage();
        Optional<SnapshotAssembly> begun = snapshot.assembly();
        LogPosition at = page.at();
        if (begun.isPresent() && !at.log().equals(begun.get().reached().log())) {
            otherLogReceived(now);
            return;
        }
        long minVersion =
                begun.map(SnapshotAssembly::firstVersion)
                        .orElseGet(() -> state.versionIn(at.log()));
        Optional<ResponseError> error =
                at.version() < minVersion
                        ? Optional.of(new ResponseError.StaleVersion(at.version(), minVersion))
                        : PageValidator.error(page, begun.flatMap(SnapshotAssembly::next));
        if (error.isPresent()) {
            rejectResponse(now, error.get());
            return;
        }
        session.recordResponse();
        snapshot.add(page).forEach(rejected -> state.reject(rejected, at.version()));
        SnapshotAssembly assembly = snapshot.assembly().orElseThrow();
        if (snapshot.isTooLarge()) {
            abandonSnapshot(assembly);
        } else if (assembly.isComplete()) {
            follow(now, assembly);
        } else if (assembly.hasAllPages()) {
            phase = Phase.CATCHING_UP;
            call(now);
        } else {
            calls.delayNextCall(snapshot.pacingDelayMicros(bytes));
        }
    }

    private void follow(long now, SnapshotAssembly assembly) {
        confirmedAt = now;
        state.replaceWith(assembly);
        snapshot.discard();
        phase = Phase.FOLLOWING;
        call(now);
    }

    // If the replica fetched the state again at once, it would still be too large. The replica
    // therefore backs off.
    private void abandonSnapshot(SnapshotAssembly assembly) {
        report(new ReplicaReport.StateTooLarge(assembly.size(), assembly.bytes(), config.limits()));
        snapshot.discard();
        phase = Phase.FETCHING_SNAPSHOT;
        calls.backOff(TOO_LARGE_BACKOFF_MICROS);
    }

    private void report(ReplicaReport report) {
        effects.accept(new Report(report));
    }
}
