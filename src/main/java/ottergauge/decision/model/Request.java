// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import ottergauge.decision.api.RequestClass;
import ottergauge.decision.api.RequestLimits;

/**
 * A request that this node has queued or sent, with the class and the limits that were effective
 * when it arrived. Instants are microseconds.
 */
public final class Request {

    private final String id;
    private final long number;
    private final RequestClass requestClass;
    private final RequestLimits limits;
    private final RequestTimes times;
    private final boolean clientRetry;
    private final Server affinityServer;
    private final List<Attempt> outstanding = new ArrayList<>(1);
    private final List<Attempt> outstandingView = Collections.unmodifiableList(outstanding);
    private long deadline;
    private double priority;
    private int attempts;
    private boolean reachedServer;
    private Attempt firstMaybeExecuted;
    private boolean responseStarted;
    private boolean unrepeatable;
    private boolean complete;
    private boolean pending;
    private Server probedServer;
    private int probes;
    private long nextProbeAt = Instants.NEVER;
    private Server failedServer;

    /**
     * Creates a request without attempts.
     *
     * @param number counts the node's requests
     * @param clientRetry whether it is taken for a client's retry
     * @param affinityServer the server that its affinity key is brought to; null if there is none
     */
    public Request(
            String id,
            long number,
            RequestClass requestClass,
            RequestLimits limits,
            RequestTimes times,
            boolean clientRetry,
            Server affinityServer) {
        this.id = id;
        this.number = number;
        this.requestClass = requestClass;
        this.limits = limits;
        this.times = times;
        this.clientRetry = clientRetry;
        this.affinityServer = affinityServer;
        deadline = times.objectiveAt();
        priority = requestClass.priorityWeight();
    }

    /** Returns the id that events and actions use. */
    public String id() {
        return id;
    }

    /** Returns the number of the request at this node, in the order of arrival. */
    public long number() {
        return number;
    }

    /** Returns the class. */
    public RequestClass requestClass() {
        return requestClass;
    }

    /** Returns what is permitted for it. */
    public RequestLimits limits() {
        return limits;
    }

    /** Returns its instants. */
    public RequestTimes times() {
        return times;
    }

    /** Whether it is taken for a client's retry. */
    public boolean isClientRetry() {
        return clientRetry;
    }

    /** Returns the server that its affinity key is brought to, or null. */
    public Server affinityServer() {
        return affinityServer;
    }

    /**
     * Returns until when a response is worked for: the objective or, once that has passed, late.
     */
    public long deadline() {
        return deadline;
    }

    /** Returns the value of a response before the deadline, relative to other requests. */
    public double priority() {
        return priority;
    }

    /** Whether it is worked for a late response. */
    public boolean isLate() {
        return deadline > times.objectiveAt();
    }

    /** Works on for the value of a late response. It must not be in the pending queue. */
    public void extendToLateResponse() {
        deadline = times.valuableUntil();
        priority *= requestClass.lateValueRatio();
    }

    /** Returns its attempts that have not ended, the oldest first. */
    public List<Attempt> outstanding() {
        return outstandingView;
    }

    /** Returns how many attempts there have been. */
    public int attempts() {
        return attempts;
    }

    /** Creates the next attempt. */
    public Attempt startAttempt(Server server, long now, double loadBefore) {
        Attempt attempt = new Attempt(this, attempts++, server, now, loadBefore);
        outstanding.add(attempt);
        return attempt;
    }

    /** Notes that an attempt has ended. */
    public void finishAttempt(Attempt attempt) {
        outstanding.remove(attempt);
    }

    /** Returns the attempt of this number that has not ended, or null. */
    public Attempt outstandingAttempt(int attemptNumber) {
        for (Attempt attempt : outstanding) {
            if (attempt.number() == attemptNumber) {
                return attempt;
            }
        }
        return null;
    }

    /** Whether an attempt came to a server. */
    public boolean hasReachedServer() {
        return reachedServer;
    }

    /** Notes that an attempt came to a server. */
    public void markReachedServer() {
        reachedServer = true;
    }

    /** Returns the first ended attempt that may have been executed, or null. */
    public Attempt firstMaybeExecuted() {
        return firstMaybeExecuted;
    }

    /** Notes an ended attempt that may have been executed; the first one counts. */
    public void recordMaybeExecuted(Attempt attempt) {
        if (firstMaybeExecuted == null) {
            firstMaybeExecuted = attempt;
        }
    }

    /** Whether it is certain that no server has executed it. */
    public boolean isCertainlyNotExecuted() {
        return outstanding.isEmpty() && firstMaybeExecuted == null;
    }

    /** Whether its response has begun. */
    public boolean hasResponseStarted() {
        return responseStarted;
    }

    /** Notes that its response has begun. */
    public void markResponseStarted() {
        responseStarted = true;
    }

    /** Whether its body can't be sent again. */
    public boolean isUnrepeatable() {
        return unrepeatable;
    }

    /** Notes that its body can't be sent again. */
    public void markUnrepeatable() {
        unrepeatable = true;
    }

    /** Whether it has its final response, or needs none. */
    public boolean isComplete() {
        return complete;
    }

    /** Notes that it has its final response, or needs none. */
    public void markComplete() {
        complete = true;
    }

    /** Whether it is in the pending queue. */
    public boolean isPending() {
        return pending;
    }

    /** Sets whether it is in the pending queue, which alone does so. */
    public void setPending(boolean pending) {
        this.pending = pending;
    }

    /** Returns the server whose probe it waits for or waited for last, or null. */
    public Server probedServer() {
        return probedServer;
    }

    /** Returns how many probes were made for it. */
    public int probes() {
        return probes;
    }

    /** Returns the instant from which on probes past half of their number may be made. */
    public long nextProbeAt() {
        return nextProbeAt;
    }

    /** Notes that it waits for a server's probe. */
    public void recordProbe(Server server, long nextAt) {
        probedServer = server;
        nextProbeAt = nextAt;
        probes++;
    }

    /** Returns the server of the last failed attempt, or null. */
    public Server failedServer() {
        return failedServer;
    }

    /** Notes the server of a failed attempt. */
    public void recordFailedServer(Server server) {
        failedServer = server;
    }
}
