// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import ottergauge.decision.limits.MovingAverage;
import ottergauge.decision.model.Request;

/**
 * Requests that wait for a server, ordered by priority and by deadline. Adding and removing a
 * request take logarithmic time. See docs/design.md, "Pending queue".
 */
public final class PendingQueue {

    private static final Comparator<Request> BY_DEADLINE =
            Comparator.comparingLong(Request::deadline).thenComparingLong(Request::number);
    private static final Comparator<Request> BY_PRIORITY =
            Comparator.comparingDouble((Request request) -> -request.priority())
                    .thenComparing(BY_DEADLINE);

    private final TreeSet<Request> byPriority = new TreeSet<>(BY_PRIORITY);
    private final TreeSet<Request> byDeadline = new TreeSet<>(BY_DEADLINE);
    private double dequeueInterval;

    /** Adds a request. */
    public void add(Request request) {
        request.setPending(true);
        byPriority.add(request);
        byDeadline.add(request);
    }

    /** Removes a request if it is in the queue. */
    public void remove(Request request) {
        if (request.isPending()) {
            request.setPending(false);
            byPriority.remove(request);
            byDeadline.remove(request);
        }
    }

    /** Returns whether the queue is empty. */
    public boolean isEmpty() {
        return byPriority.isEmpty();
    }

    /** Returns a copy of the requests, highest priority first. */
    public List<Request> snapshot() {
        return new ArrayList<>(byPriority);
    }

    /** Returns the request with the highest priority. The queue must not be empty. */
    public Request first() {
        return byPriority.first();
    }

    /** Returns the request with the earliest deadline. The queue must not be empty. */
    public Request firstByDeadline() {
        return byDeadline.first();
    }

    /**
     * Records the time between the sends of two successive requests, in microseconds. The time is
     * ignored if no request is left in the queue, because it then depends on when requests arrive.
     */
    public void recordSend(long interval) {
        if (!byPriority.isEmpty()) {
            dequeueInterval = MovingAverage.update(dequeueInterval, (double) interval);
        }
    }

    /** Returns whether the send rate of a non-empty queue has been measured. */
    public boolean hasWaitEstimate() {
        return dequeueInterval > 0;
    }

    /**
     * Returns how long a request would wait for the requests ahead of it, in microseconds, by
     * Little's law.
     */
    public double expectedWait(Request request) {
        return byPriority.headSet(request).size() * dequeueInterval;
    }
}
