// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.request;

import ottergauge.decision.load.LoadSourceSelector;
import ottergauge.decision.load.ServiceTimes;
import ottergauge.decision.model.Request;

/**
 * Decides which requests can still be served before their deadlines. See docs/design.md, "Deadline
 * admission", "load shedding on arrival" and "late responses".
 */
public final class AdmissionControl {

    // A request whose deadline is at most this fraction of the mean service time away is considered
    // unable to meet it.
    private static final double MIN_SERVICE_TIME_RATIO = 0.6;
    // A request with more than this fraction of its latency objective left is never considered
    // unable to meet its deadline. A class whose requests are all rejected on arrival would yield
    // no service-time samples, so its requests would be rejected forever.
    private static final double MAX_OBJECTIVE_RATIO = 0.5;

    private final PendingQueue queue;
    private final ServiceTimes serviceTimes;
    private final LoadSourceSelector loadSource;

    /** Creates an admission control for a pending queue. */
    public AdmissionControl(
            PendingQueue queue, ServiceTimes serviceTimes, LoadSourceSelector loadSource) {
        this.queue = queue;
        this.serviceTimes = serviceTimes;
        this.loadSource = loadSource;
    }

    /**
     * Returns whether a request that has arrived may be queued. A request that would wait in the
     * queue until it can no longer meet its deadline is rejected on arrival instead. With load
     * probes, every request is queued.
     */
    public boolean admits(Request request, long now) {
        return loadSource.usesProbes()
                || !queue.hasWaitEstimate()
                || queue.isEmpty()
                || queue.expectedWait(request) <= request.deadline() - minTimeNeeded(request) - now;
    }

    /** Returns whether a request can't meet its deadline even if it is sent now. */
    public boolean cannotMeetDeadline(Request request, long now) {
        return now + minTimeNeeded(request) >= request.deadline();
    }

    /**
     * Extends the deadline of a request whose attempts failed, if a late response is still possible
     * and has value. The new deadline is the instant at which a late response loses its value.
     *
     * @return whether the deadline was extended; the request is then no longer in the pending queue
     */
    public boolean extendDeadline(Request request, long now) {
        boolean extended = canExtendDeadline(request, now);
        if (extended) {
            queue.remove(request);
            request.extendToLateResponse();
        }
        return extended;
    }

    /** Returns whether {@link #extendDeadline} would extend the deadline. */
    public boolean canExtendDeadline(Request request, long now) {
        long valuableUntil = request.times().valuableUntil();
        return request.deadline() < valuableUntil && now + minTimeNeeded(request) < valuableUntil;
    }

    private double minTimeNeeded(Request request) {
        return Math.min(
                MIN_SERVICE_TIME_RATIO * serviceTimes.mean(),
                request.requestClass().latencyObjective() * MAX_OBJECTIVE_RATIO);
    }
}
