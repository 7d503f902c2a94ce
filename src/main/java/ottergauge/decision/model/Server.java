// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import ottergauge.decision.api.Endpoint;
import ottergauge.decision.api.EndpointState;
import ottergauge.decision.limits.ConcurrencyLimit;
import ottergauge.decision.limits.MovingAverage;

/** A server of the endpoint list, with the state that each part of the engine keeps about it. */
public final class Server {

    private final long id;
    private Endpoint endpoint;
    private EndpointState state;
    private final List<Attempt> outstanding = new ArrayList<>();
    private final List<Attempt> outstandingView = Collections.unmodifiableList(outstanding);
    private double relativeServiceTime;
    private final RotationEntry rotation = new RotationEntry();
    private final ServerLoad load = new ServerLoad();
    private final ServerProbe probe = new ServerProbe();
    private final ServerHealth health = new ServerHealth();
    private final SlowStartState slowStart = new SlowStartState();
    private final ConcurrencyLimit concurrencyLimit = new ConcurrencyLimit();

    /** Creates a server without any history. */
    public Server(Endpoint endpoint) {
        id = endpoint.id();
        this.endpoint = endpoint;
        state = endpoint.state();
    }

    /** Returns the unique and stable id. */
    public long id() {
        return id;
    }

    /** Returns the server's last entry in the endpoint list. */
    public Endpoint endpoint() {
        return endpoint;
    }

    /** Returns the state, which tells whether the server accepts new requests. */
    public EndpointState state() {
        return state;
    }

    /** Applies a new entry of the endpoint list. */
    public void setEndpoint(Endpoint next) {
        endpoint = next;
        state = next.state();
    }

    /** Marks the server as removed until {@link #setEndpoint} is called again. */
    public void markRemoved() {
        state = EndpointState.REMOVED;
    }

    /** Returns this node's attempts that the server works on, oldest first. */
    public List<Attempt> outstanding() {
        return outstandingView;
    }

    /** Returns the number of this node's attempts that the server works on. */
    public int outstandingCount() {
        return outstanding.size();
    }

    void attemptStarted(Attempt attempt) {
        outstanding.add(attempt);
        load.attemptStarted();
    }

    void attemptFinished(Attempt attempt) {
        outstanding.remove(attempt);
        load.attemptFinished();
    }

    /** Returns the ratio of the server's service time to the fleet's mean, or 0 if unknown. */
    public double relativeServiceTime() {
        return relativeServiceTime;
    }

    /** Records a sample of the ratio of the server's service time to the fleet's mean. */
    public void recordRelativeServiceTime(double ratio) {
        relativeServiceTime = MovingAverage.update(relativeServiceTime, ratio);
    }

    /** Clears the relative service time, because a restarted server may have another one. */
    public void forgetRelativeServiceTime() {
        relativeServiceTime = 0;
    }

    /** Returns the statistics for the weighted round-robin. */
    public RotationEntry rotation() {
        return rotation;
    }

    /** Returns what this node knows about the server's load. */
    public ServerLoad load() {
        return load;
    }

    /** Returns the state of load probes. */
    public ServerProbe probe() {
        return probe;
    }

    /** Returns the failures and the ejection state. */
    public ServerHealth health() {
        return health;
    }

    /** Returns the slow-start state. */
    public SlowStartState slowStart() {
        return slowStart;
    }

    /** Returns this node's concurrency limit for the server. */
    public ConcurrencyLimit concurrencyLimit() {
        return concurrencyLimit;
    }
}
