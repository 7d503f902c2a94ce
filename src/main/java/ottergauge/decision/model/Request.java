// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import ottergauge.decision.api.RequestClass;
import ottergauge.decision.api.RequestLimits;

/**
 * A request that this node has queued or sent, with the request class and the limits that applied
 * when it arrived. Instants are in microseconds.
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
     * @param number sequence number of the request at this node
     * @param clientRetry whether the request is treated as a client's retry
     * @param affinityServer the server that its affinity key is assigned to, or null
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

    /** Returns the id that identifies the request in events and actions. */
    public String id() {
        return id;
    }

    /** Returns the sequence number of the request at this node, in order of arrival. */
    public long number() {
        return number;
    }

    /** Returns the request class. */
    public RequestClass requestClass() {
        return requestClass;
    }

    /** Returns the limits that apply to the request. */
    public RequestLimits limits() {
        return limits;
    }

    /** Returns the arrival time and the deadlines of the request. */
    public RequestTimes times() {
        return times;
    }

    /** Returns whether the request is treated as a client's retry. */
    public boolean isClientRetry() {
        return clientRetry;
    }

    /** Returns the server that its affinity key is assigned to, or null. */
    public Server affinityServer() {
        return affinityServer;
    }

    /**
     * Returns the instant until which the node tries to get a response: the latency objective or,
     * after {@link #extendToLateResponse}, the instant at which a late response loses its value.
     */
    public long deadline() {
        return deadline;
    }

    /** Returns the value of a response before the deadline, relative to that of other requests. */
    public double priority() {
        return priority;
    }

    /** Returns whether the node now aims for a late response, past the latency objective. */
    public boolean isLate() {
        return deadline > times.objectiveAt();
    }

    /**
     * Extends the deadline and lowers the priority to those of a late response. The request must
     * not be in the pending queue, which is ordered by them.
     */
    public void extendToLateResponse() {
        deadline = times.valuableUntil();
        priority *= requestClass.lateValueRatio();
    }

    /** Returns the attempts that have not ended, oldest first. */
    public List<Attempt> outstanding() {
        return outstandingView;
    }

    /** Returns the number of attempts so far. */
    public int attempts() {
        return attempts;
    }

    /** Creates the next attempt. */
    public Attempt startAttempt(Server server, long now, double loadBefore) {
        Attempt attempt = new Attempt(this, attempts++, server, now, loadBefore);
        outstanding.add(attempt);
        return attempt;
    }

    /** Removes an attempt that has ended from the outstanding ones. */
    public void finishAttempt(Attempt attempt) {
        outstanding.remove(attempt);
    }

    /** Returns the outstanding attempt with this number, or null. */
    public Attempt outstandingAttempt(int attemptNumber) {
        for (Attempt attempt : outstanding) {
            if (attempt.number() == attemptNumber) {
                return attempt;
            }
        }
        return null;
    }

    /** Returns whether an attempt has reached a server. */
    public boolean hasReachedServer() {
        return reachedServer;
    }

    /** Records that an attempt has reached a server. */
    public void markReachedServer() {
        reachedServer = true;
    }

    /** Returns the first ended attempt that the server may have executed, or null. */
    public Attempt firstMaybeExecuted() {
        return firstMaybeExecuted;
    }

    /** Records an ended attempt that the server may have executed. Only the first one is kept. */
    public void recordMaybeExecuted(Attempt attempt) {
        if (firstMaybeExecuted == null) {
            firstMaybeExecuted = attempt;
        }
    }

    /** Returns whether it is certain that no server has executed the request. */
    public boolean isCertainlyNotExecuted() {
        return outstanding.isEmpty() && firstMaybeExecuted == null;
    }

    /** Returns whether the response has started. */
    public boolean hasResponseStarted() {
        return responseStarted;
    }

    /** Records that the response has started. */
    public void markResponseStarted() {
        responseStarted = true;
    }

    /** Returns whether the request body can't be sent again. */
    public boolean isUnrepeatable() {
        return unrepeatable;
    }

    /** Records that the request body can't be sent again. */
    public void markUnrepeatable() {
        unrepeatable = true;
    }

    /** Returns whether the request has its final response, or no longer needs one. */
    public boolean isComplete() {
        return complete;
    }

    /** Records that the request has its final response, or no longer needs one. */
    public void markComplete() {
        complete = true;
    }

    /** Returns whether the request is in the pending queue. */
    public boolean isPending() {
        return pending;
    }

    /** Sets whether the request is in the pending queue. Only the pending queue calls this. */
    public void setPending(boolean pending) {
        this.pending = pending;
    }

    /** Returns the server whose load probe the request last waited for, or null. */
    public Server probedServer() {
        return probedServer;
    }

    /** Returns the number of load probes that the request has waited for. */
    public int probes() {
        return probes;
    }

    /**
     * Returns the earliest instant of the next load probe, once the request has used half of the
     * probes it is allowed.
     */
    public long nextProbeAt() {
        return nextProbeAt;
    }

    /**
     * Records that the request waits for a server's load probe.
     *
     * @param nextAt earliest instant of the next probe, once half of the allowed probes are used
     */
    public void recordProbe(Server server, long nextAt) {
        probedServer = server;
        nextProbeAt = nextAt;
        probes++;
    }

    /** Returns the server of the last failed attempt, or null. */
    public Server failedServer() {
        return failedServer;
    }

    /** Records the server of a failed attempt. */
    public void recordFailedServer(Server server) {
        failedServer = server;
    }
}
