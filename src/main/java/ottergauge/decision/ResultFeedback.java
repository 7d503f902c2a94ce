// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision;

import ottergauge.decision.api.AttemptResult;
import ottergauge.decision.api.DecisionEvent.AttemptEnded;
import ottergauge.decision.api.DecisionEvent.ProbeEnded;
import ottergauge.decision.balancing.ClassWeights;
import ottergauge.decision.balancing.ServerSubset;
import ottergauge.decision.health.OutlierDetector;
import ottergauge.decision.health.SilenceDetector;
import ottergauge.decision.load.CapacityEstimates;
import ottergauge.decision.load.LoadEstimates;
import ottergauge.decision.load.LoadSourceSelector;
import ottergauge.decision.load.ProbeTracker;
import ottergauge.decision.load.ServedRate;
import ottergauge.decision.load.ServiceTimes;
import ottergauge.decision.model.Attempt;
import ottergauge.decision.model.Server;

/** Passes the results of attempts and load probes to the estimates and the outlier detection. */
final class ResultFeedback {

    // A response that took longer than this fraction of its latency objective indicates a queue at
    // the server.
    private static final double CONGESTED_OBJECTIVE_RATIO = 0.5;

    private final ClassWeights weights;
    private final ServerSubset subset;
    private final LoadSourceSelector loadSource;
    private final ServiceTimes serviceTimes;
    private final ServedRate servedRate;
    private final LoadEstimates loads;
    private final CapacityEstimates capacities;
    private final ProbeTracker probes;
    private final OutlierDetector outliers;
    private final SilenceDetector silence;

    ResultFeedback(
            ClassWeights weights,
            ServerSubset subset,
            LoadSourceSelector loadSource,
            ServiceTimes serviceTimes,
            ServedRate servedRate,
            LoadEstimates loads,
            CapacityEstimates capacities,
            ProbeTracker probes,
            OutlierDetector outliers,
            SilenceDetector silence) {
        this.weights = weights;
        this.subset = subset;
        this.loadSource = loadSource;
        this.serviceTimes = serviceTimes;
        this.servedRate = servedRate;
        this.loads = loads;
        this.capacities = capacities;
        this.probes = probes;
        this.outliers = outliers;
        this.silence = silence;
    }

    /** Processes the result of an attempt that its server no longer works on. */
    void attemptEnded(Attempt attempt, AttemptEnded event, long now) {
        Server server = attempt.server();
        boolean served = event.result() == AttemptResult.SERVED;
        // A server that fails requests immediately reports an empty queue, which would attract more
        // requests. With passive load reports, only the report of a successful attempt is therefore
        // used.
        if (served || !loadSource.usesReports()) {
            loads.record(server, event.loadReport(), served ? 1 : 0, now);
        }
        switch (event.result()) {
            case SERVED -> served(attempt, event, now);
            case TIMED_OUT -> timedOut(attempt, event.elapsed(), now);
            case CONNECT_FAILED -> outliers.recordConnectFailure(server, now);
            case RESET -> outliers.recordReset(server, now);
            case ERROR -> outliers.recordError(server, now);
            case REJECTED -> {
                outliers.ejectFor(server, (long) (serviceTimes.mean() / 2), now);
                recordCongestion(server, now);
            }
            case CANCELLED, NOT_SENT -> {}
        }
        outliers.countAttempt(event.result() == AttemptResult.CONNECT_FAILED);
        countAnswer(attempt, event.result());
    }

    private void countAnswer(Attempt attempt, AttemptResult result) {
        boolean givenUp =
                result == AttemptResult.TIMED_OUT
                        || (result == AttemptResult.CANCELLED && !attempt.request().isComplete());
        if (givenUp || result == AttemptResult.SERVED) {
            silence.countAttempt(!givenUp);
        }
    }

    private void served(Attempt attempt, AttemptEnded event, long now) {
        Server server = attempt.server();
        double reported = event.loadReport().latencyMicros();
        weights.recordLatency(
                server,
                weights.row(attempt.request()),
                reported > 0 ? (long) reported : event.elapsed());
        if (event.loadReport().utilization() <= CapacityEstimates.MAX_UNCONTENDED_UTILIZATION) {
            serviceTimes.recordUncontended(event.elapsed());
        }
        servedRate.recordServed();
        long objective = attempt.request().requestClass().latencyObjective();
        if (event.elapsed() > CONGESTED_OBJECTIVE_RATIO * objective) {
            recordCongestion(server, now);
        } else {
            server.concurrencyLimit()
                    .recordSuccess(server.outstandingCount(), subset.nodesPerServer());
        }
        outliers.recordSuccess(server, now);
        recordServiceTime(attempt, event.elapsed());
    }

    private void timedOut(Attempt attempt, long elapsed, long now) {
        Server server = attempt.server();
        recordCongestion(server, now);
        // If the server is slow, the timeout is a sample of its service time. If the response was
        // lost, it says nothing about the speed. The sample is therefore capped at a few times the
        // expected latency. If the entire elapsed time counted, a few lost responses would raise
        // the fleet's mean service time until every server seemed too slow for any request.
        double longest =
                serviceTimes.mean() > 0
                        ? SilenceDetector.MAX_MISSED_RESPONSES_PER_ATTEMPT
                                * serviceTimes.mean()
                                * loads.serviceTimesToEnd(server, attempt.loadBefore())
                        : elapsed;
        recordServiceTime(attempt, (long) Math.min((double) elapsed, longest));
        loads.recordTimeout(server, elapsed, now);
    }

    private void recordCongestion(Server server, long now) {
        server.concurrencyLimit()
                .recordCongestion(
                        now,
                        server.outstandingCount() + 1,
                        serviceTimes.mean(),
                        subset.nodesPerServer());
    }

    private void recordServiceTime(Attempt attempt, long elapsed) {
        Server server = attempt.server();
        double expectedServiceTimes = loads.serviceTimesToEnd(server, attempt.loadBefore());
        serviceTimes.record(server, elapsed / expectedServiceTimes);
    }

    /**
     * Processes the result of a load probe.
     *
     * @return whether the probe showed that the server has free capacity
     */
    boolean probeEnded(Server server, ProbeEnded event, long now) {
        server.probe().finish();
        switch (event.result()) {
            case SERVED -> {
                probes.recordRoundTrip(server, event.elapsed());
                loads.recordProbe(server, event.loadReport(), now);
                outliers.recordResponse(server, now);
                return loads.inFlight(server, now) < capacities.of(server);
            }
            case ERROR -> outliers.recordError(server, now);
            case RESET -> outliers.recordReset(server, now);
            case CONNECT_FAILED -> outliers.recordConnectFailure(server, now);
            case NOT_SENT -> {}
            case REJECTED, TIMED_OUT, CANCELLED -> outliers.eject(server, now);
        }
        return false;
    }
}
