// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import ottergauge.decision.api.Endpoint;
import ottergauge.decision.api.EndpointState;
import ottergauge.decision.limits.ConcurrencyLimit;
import ottergauge.decision.limits.MovingAverage;

/** A listed server, with what each part of the engine knows of it. */
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

    /** Returns the entry of the endpoint list that was applied last. */
    public Endpoint endpoint() {
        return endpoint;
    }

    /** Returns whether the server takes new requests. */
    public EndpointState state() {
        return state;
    }

    /** Takes an entry of the endpoint list. */
    public void setEndpoint(Endpoint next) {
        endpoint = next;
        state = next.state();
    }

    /** Takes the server for removed until an entry names it. */
    public void markRemoved() {
        state = EndpointState.REMOVED;
    }

    /** Returns this node's attempts that the server works on, the oldest first. */
    public List<Attempt> outstanding() {
        return outstandingView;
    }

    /** Returns how many attempts of this node the server works on. */
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

    /** Returns the server's service time relative to the fleet's; 0 if it is unknown. */
    public double relativeServiceTime() {
        return relativeServiceTime;
    }

    /** Takes a sample of the server's service time relative to the fleet's. */
    public void recordRelativeServiceTime(double ratio) {
        relativeServiceTime = MovingAverage.update(relativeServiceTime, ratio);
    }

    /** Forgets the relative service time, as another incarnation has another one. */
    public void forgetRelativeServiceTime() {
        relativeServiceTime = 0;
    }

    /** Returns the statistics of the rotation. */
    public RotationEntry rotation() {
        return rotation;
    }

    /** Returns what is known of the load. */
    public ServerLoad load() {
        return load;
    }

    /** Returns the state of load probes. */
    public ServerProbe probe() {
        return probe;
    }

    /** Returns the state of the outlier detection. */
    public ServerHealth health() {
        return health;
    }

    /** Returns the state of the slow start. */
    public SlowStartState slowStart() {
        return slowStart;
    }

    /** Returns this node's concurrency limit for the server. */
    public ConcurrencyLimit concurrencyLimit() {
        return concurrencyLimit;
    }
}
