// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.request;

import ottergauge.decision.load.LoadSourceSelector;
import ottergauge.decision.load.ServiceTimes;
import ottergauge.decision.model.Request;

/**
 * Decides which requests can still be served in time. See docs/design.md, "Deadline admission",
 * "load shedding on arrival" and "late responses".
 */
public final class AdmissionControl {

    // With less than this part of a service time left a request can't be served in time any more.
    private static final double MIN_SERVICE_TIME_RATIO = 0.6;
    // A class that is rejected on arrival yields no samples and would be rejected for ever, so with
    // this part of its objective left a request is always tried.
    private static final double MAX_OBJECTIVE_RATIO = 0.5;

    private final PendingQueue queue;
    private final ServiceTimes serviceTimes;
    private final LoadSourceSelector loadSource;

    /** Creates a control of the requests of a queue. */
    public AdmissionControl(
            PendingQueue queue, ServiceTimes serviceTimes, LoadSourceSelector loadSource) {
        this.queue = queue;
        this.serviceTimes = serviceTimes;
        this.loadSource = loadSource;
    }

    /** Whether a request that has arrived is queued; else it would wait long to be rejected. */
    public boolean admits(Request request, long now) {
        return loadSource.usesProbes()
                || !queue.knowsWait()
                || queue.isEmpty()
                || queue.expectedWait(request) <= request.deadline() - minTime(request) - now;
    }

    /** Whether a request can't meet its deadline even if it is sent now. */
    public boolean cannotMeetDeadline(Request request, long now) {
        return now + minTime(request) >= request.deadline();
    }

    /**
     * Extends the deadline of a request that was tried in vain to when a late response loses its
     * value, if that can be met.
     *
     * @return whether it was extended; it is then in the pending queue no more
     */
    public boolean extendDeadline(Request request, long now) {
        long valuableUntil = request.times().valuableUntil();
        boolean extended =
                request.deadline() < valuableUntil && now + minTime(request) < valuableUntil;
        if (extended) {
            queue.remove(request);
            request.extendToLateResponse();
        }
        return extended;
    }

    private double minTime(Request request) {
        return Math.min(
                MIN_SERVICE_TIME_RATIO * serviceTimes.mean(),
                request.requestClass().latencyObjective() * MAX_OBJECTIVE_RATIO);
    }
}
