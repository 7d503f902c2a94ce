// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision;

import ottergauge.decision.api.DecisionAction.SetTimer;
import ottergauge.decision.api.DecisionActionSink;
import ottergauge.decision.endpoints.DiscoveryPoller;
import ottergauge.decision.health.SilenceDetector;
import ottergauge.decision.load.LoadEstimates;
import ottergauge.decision.load.LoadSourceSelector;
import ottergauge.decision.load.ProbeTracker;
import ottergauge.decision.model.MeasurementWindow;
import ottergauge.decision.model.OutstandingAttempts;
import ottergauge.decision.model.Server;
import ottergauge.decision.request.PendingQueue;

/** Sets the timer to the next instant at which a decision can change without another event. */
final class TimerSchedule {

    private static final String TOKEN = "tick";
    private static final long PROBE_SPACING_MICROS = 1_000;

    private final MeasurementWindow window;
    private final DiscoveryPoller discovery;
    private final PendingQueue pending;
    private final OutstandingAttempts outstanding;
    private final SilenceDetector silence;
    private final LoadSourceSelector loadSource;
    private final LoadEstimates loads;
    private final ProbeTracker probes;
    private long timerAt = Long.MAX_VALUE;

    TimerSchedule(
            MeasurementWindow window,
            DiscoveryPoller discovery,
            PendingQueue pending,
            OutstandingAttempts outstanding,
            SilenceDetector silence,
            LoadSourceSelector loadSource,
            LoadEstimates loads,
            ProbeTracker probes) {
        this.window = window;
        this.discovery = discovery;
        this.pending = pending;
        this.outstanding = outstanding;
        this.silence = silence;
        this.loadSource = loadSource;
        this.loads = loads;
        this.probes = probes;
    }

    /** Clears the timer if it is due. */
    void advanceTo(long now) {
        if (now >= timerAt) {
            timerAt = Long.MAX_VALUE;
        }
    }

    /** Sets a timer, unless one is already set for the same or an earlier instant. */
    void schedule(long now, DecisionActionSink actions) {
        long at = Math.max(nextDueAt(now), now + 1);
        if (at < timerAt) {
            timerAt = at;
            actions.accept(new SetTimer(at - now, TOKEN));
        }
    }

    private long nextDueAt(long now) {
        long at = Math.min(window.endsAt(), discovery.nextPollAt());
        if (!pending.isEmpty() || !outstanding.isEmpty()) {
            at = Math.min(at, Math.max(silence.nextSweepAt(), now + 1));
        }
        if (!pending.isEmpty()) {
            at = Math.min(at, pending.firstByDeadline().deadline());
            at = Math.min(at, nextDispatchAt(now));
        }
        return at;
    }

    private long nextDispatchAt(long now) {
        Server probed = pending.first().probedServer();
        if (probed != null && probes.isAwaited(probed, now)) {
            return probes.timeoutAt(probed);
        }
        return loadSource.usesProbes()
                ? now + loads.reportFreshnessMicros() + PROBE_SPACING_MICROS
                : Long.MAX_VALUE;
    }
}
