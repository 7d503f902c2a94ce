// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import ottergauge.decision.limits.MovingAverage;
import ottergauge.decision.model.Request;

/**
 * Requests that wait for a server, ordered by priority and by deadline. Adding and removing take
 * logarithmic time. See docs/design.md, "Pending queue".
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

    /** Removes a request, if it is here. */
    public void remove(Request request) {
        if (request.isPending()) {
            request.setPending(false);
            byPriority.remove(request);
            byDeadline.remove(request);
        }
    }

    /** Whether no request waits. */
    public boolean isEmpty() {
        return byPriority.isEmpty();
    }

    /** Returns a copy of the requests, the highest priority first. */
    public List<Request> snapshot() {
        return new ArrayList<>(byPriority);
    }

    /** Returns the request of the highest priority; the queue must not be empty. */
    public Request first() {
        return byPriority.first();
    }

    /** Returns the request of the earliest deadline; the queue must not be empty. */
    public Request firstByDeadline() {
        return byDeadline.first();
    }

    /** Notes that a request was sent this span after another one, in microseconds. */
    public void recordSend(long interval) {
        if (!byPriority.isEmpty()) {
            dequeueInterval = MovingAverage.update(dequeueInterval, (double) interval);
        }
    }

    /** Whether sends from a backlog have been timed. */
    public boolean knowsWait() {
        return dequeueInterval > 0;
    }

    /** Returns how long a request would wait for those ahead of it, by Little's law. */
    public double expectedWait(Request request) {
        return byPriority.headSet(request).size() * dequeueInterval;
    }
}
