// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision;

import java.util.LinkedHashSet;
import java.util.SplittableRandom;
import ottergauge.decision.api.AttemptResult;
import ottergauge.decision.api.DecisionActionSink;
import ottergauge.decision.api.DecisionEvent;
import ottergauge.decision.api.DecisionEvent.AttemptEnded;
import ottergauge.decision.api.DecisionEvent.ClientDisconnected;
import ottergauge.decision.api.DecisionEvent.DiscoveryFailed;
import ottergauge.decision.api.DecisionEvent.EndpointUpdate;
import ottergauge.decision.api.DecisionEvent.ProbeEnded;
import ottergauge.decision.api.DecisionEvent.RequestAnswered;
import ottergauge.decision.api.DecisionEvent.RequestArrived;
import ottergauge.decision.api.DecisionEvent.RequestBodySent;
import ottergauge.decision.api.DecisionEvent.RequestBodyStreaming;
import ottergauge.decision.api.DecisionEvent.ResponseStarted;
import ottergauge.decision.api.DecisionEvent.SettingsChanged;
import ottergauge.decision.api.DecisionEvent.TimerFired;
import ottergauge.decision.api.DecisionSettings;
import ottergauge.decision.api.DecisionView;
import ottergauge.decision.api.EndpointState;
import ottergauge.decision.api.EndpointStatus;
import ottergauge.decision.api.RequestClass;
import ottergauge.decision.balancing.CacheAffinity;
import ottergauge.decision.balancing.ClassWeights;
import ottergauge.decision.balancing.ServerSubset;
import ottergauge.decision.endpoints.DiscoveryPoller;
import ottergauge.decision.endpoints.EndpointUpdater;
import ottergauge.decision.health.OutlierDetector;
import ottergauge.decision.health.SilenceDetector;
import ottergauge.decision.health.SlowStartBudget;
import ottergauge.decision.limits.RetryBudget;
import ottergauge.decision.limits.WarmUpSchedule;
import ottergauge.decision.load.CapacityEstimates;
import ottergauge.decision.load.LoadEstimates;
import ottergauge.decision.load.LoadSourceSelector;
import ottergauge.decision.load.ProbeBudget;
import ottergauge.decision.load.ProbeTracker;
import ottergauge.decision.load.ServedRate;
import ottergauge.decision.load.ServiceTimes;
import ottergauge.decision.model.Attempt;
import ottergauge.decision.model.MeasurementWindow;
import ottergauge.decision.model.OutstandingAttempts;
import ottergauge.decision.model.Request;
import ottergauge.decision.model.Server;
import ottergauge.decision.request.AdmissionControl;
import ottergauge.decision.request.ArrivalInterval;
import ottergauge.decision.request.ClientRetryDetector;
import ottergauge.decision.request.PendingQueue;
import ottergauge.decision.request.RepeatRules;
import ottergauge.decision.request.RequestTable;
import ottergauge.decision.ring.ConsistentHashRing;
import ottergauge.decision.selection.DeadlineFit;
import ottergauge.decision.selection.ServerSelector;

/**
 * Decides for one node which server gets each request, and when a request is retried, rejected or
 * failed. It receives an event with its instant and returns actions. The same events and the same
 * seed always give the same actions. The engine only dispatches events to its parts, and each part
 * owns its state. The basic algorithm is Per-Function Auto Weighted Round-Robin; docs/design.md
 * lists the deviations from it and when each applies.
 *
 * <p>Not thread-safe: one thread must pass all events, in the order of their instants.
 */
public final class DecisionEngine implements DecisionView {

    private final MeasurementWindow window = new MeasurementWindow();
    private final ConsistentHashRing<Server> ring = new ConsistentHashRing<>();
    private final OutstandingAttempts outstanding = new OutstandingAttempts();
    private final WarmUpSchedule warmUp = new WarmUpSchedule();
    private final ClassWeights weights;
    private final ServerSubset subset;

    private final LoadSourceSelector loadSource = new LoadSourceSelector(ring);
    private final ServiceTimes serviceTimes = new ServiceTimes(warmUp);
    private final ServedRate servedRate = new ServedRate();
    private final CapacityEstimates capacities = new CapacityEstimates(loadSource, serviceTimes);
    private final ProbeTracker probes = new ProbeTracker();
    private final ProbeBudget probeBudget = new ProbeBudget();
    private final LoadEstimates loads;

    private final ArrivalInterval arrivals = new ArrivalInterval();
    private final RequestTable requests = new RequestTable();
    private final PendingQueue pending = new PendingQueue();
    private final ClientRetryDetector clientRetries = new ClientRetryDetector();
    private final RetryBudget retryBudget = new RetryBudget(0);

    private final OutlierDetector outliers;
    private final SilenceDetector silence;
    private final SlowStartBudget slowStart;
    private final DiscoveryPoller discovery;
    private final EndpointUpdater endpoints;

    private final RequestLifecycle lifecycle;
    private final Dispatcher dispatcher;
    private final ResultFeedback feedback;
    private final TimerSchedule timer;

    private long now;

    /**
     * Creates an engine without servers.
     *
     * @param seed seed of the random number generator for all random choices
     */
    public DecisionEngine(DecisionSettings settings, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        weights = new ClassWeights(random);
        subset = new ServerSubset(ring, outstanding, weights, this::reportedServerCapacity);
        loads = new LoadEstimates(loadSource, serviceTimes, capacities, probes, subset);
        outliers = new OutlierDetector(subset, loadSource, arrivals, random);
        silence = new SilenceDetector(outstanding, loads, outliers);
        slowStart =
                new SlowStartBudget(
                        warmUp, subset, loadSource, serviceTimes, capacities, servedRate, random);
        discovery = new DiscoveryPoller(random);
        endpoints = new EndpointUpdater(ring, subset, outliers, probes);
        ServerSelector selector = newSelector();
        lifecycle = newLifecycle(selector);
        dispatcher = newDispatcher(selector);
        feedback = newFeedback();
        timer = newTimer();
        applySettings(settings);
    }

    private ServerSelector newSelector() {
        DeadlineFit deadlineFit =
                new DeadlineFit(
                        loadSource, serviceTimes, capacities, loads, outstanding, slowStart);
        return new ServerSelector(
                subset,
                weights,
                outstanding,
                loadSource,
                serviceTimes,
                loads,
                probes,
                probeBudget,
                slowStart,
                deadlineFit);
    }

    private RequestLifecycle newLifecycle(ServerSelector selector) {
        return new RequestLifecycle(
                requests,
                pending,
                new AdmissionControl(pending, serviceTimes, loadSource),
                clientRetries,
                retryBudget,
                weights,
                new CacheAffinity(subset),
                selector);
    }

    private Dispatcher newDispatcher(ServerSelector selector) {
        return new Dispatcher(
                pending,
                selector,
                subset,
                outstanding,
                loadSource,
                loads,
                probes,
                probeBudget,
                slowStart,
                retryBudget,
                weights);
    }

    private ResultFeedback newFeedback() {
        return new ResultFeedback(
                weights,
                subset,
                loadSource,
                serviceTimes,
                servedRate,
                loads,
                capacities,
                probes,
                outliers,
                silence);
    }

    private TimerSchedule newTimer() {
        return new TimerSchedule(
                window, discovery, pending, outstanding, silence, loadSource, loads, probes);
    }

    private double reportedServerCapacity() {
        return loadSource.usesReports() && capacities.isKnown() ? capacities.fleetMean() : 1;
    }

    /**
     * Handles one event. The caller must carry out the actions at the same instant, in their order.
     *
     * @param at instant of the event in microseconds, no earlier than that of the previous event
     */
    public void handle(long at, DecisionEvent event, DecisionActionSink actions) {
        advanceTo(at);
        boolean capacityFreed = dispatch(event, actions);
        discovery.poll(now, actions);
        for (Attempt attempt : silence.sweep(now)) {
            lifecycle.replace(attempt, now, actions);
        }
        lifecycle.expirePending(now, actions);
        dispatcher.dispatch(capacityFreed, now, actions);
        timer.schedule(now, actions);
    }

    private void advanceTo(long at) {
        if (!window.isStarted()) {
            window.start(at);
            capacities.start(at);
            discovery.start(at);
        }
        outstanding.advanceTo(at);
        now = at;
        timer.advanceTo(at);
        if (window.hasEnded(at)) {
            endWindow();
        }
    }

    private void endWindow() {
        servedRate.endWindow(Math.min(ring.count(), subset.targetSize()));
        outstanding.endWindow();
        window.advance(now);
        clientRetries.endWindow();
        weights.endWindow();
        subset.choose(now);
    }

    /**
     * Passes the event to the part that handles it, and returns whether the event may have freed
     * capacity at a server.
     */
    private boolean dispatch(DecisionEvent event, DecisionActionSink actions) {
        if (event instanceof RequestArrived e) {
            requestArrived(e, actions);
            return false;
        } else if (event instanceof ProbeEnded e) {
            return probeEnded(e);
        } else if (event instanceof TimerFired) {
            return false;
        } else if (event instanceof AttemptEnded e) {
            attemptEnded(e, actions);
        } else if (event instanceof EndpointUpdate e) {
            endpointsUpdated(e);
        } else if (event instanceof SettingsChanged e) {
            settingsChanged(e);
        } else if (event instanceof DiscoveryFailed) {
            discovery.pollFailed(now);
        } else if (event instanceof ClientDisconnected e) {
            lifecycle.clientDisconnected(e.id(), actions);
        } else if (event instanceof RequestAnswered e) {
            lifecycle.answered(e.id(), actions);
        } else if (event instanceof ResponseStarted e) {
            lifecycle.responseStarted(e.id());
        } else if (event instanceof RequestBodyStreaming e) {
            bodyStreaming(e);
        } else if (event instanceof RequestBodySent e) {
            bodySent(e);
        } else {
            throw new IllegalArgumentException("unknown event " + event);
        }
        return true;
    }

    private void requestArrived(RequestArrived event, DecisionActionSink actions) {
        arrivals.recordArrival(now);
        lifecycle.arrive(event, now, actions);
    }

    private boolean probeEnded(ProbeEnded event) {
        Server server = ring.get(event.server());
        return server != null && feedback.probeEnded(server, event, now);
    }

    private void attemptEnded(AttemptEnded event, DecisionActionSink actions) {
        Attempt attempt = requests.findAttempt(event.id(), event.attempt());
        if (attempt == null) {
            return;
        }
        Request request = attempt.request();
        request.finishAttempt(attempt);
        if (!attempt.isBodyStreaming()) {
            outstanding.finish(attempt);
        }
        feedback.attemptEnded(attempt, event, now);
        AttemptResult result = event.result();
        if (result != AttemptResult.CONNECT_FAILED && result != AttemptResult.NOT_SENT) {
            request.markReachedServer();
        }
        if (!result.neverRan()) {
            request.recordMaybeExecuted(attempt);
        }
        if (event.requestComplete()) {
            lifecycle.complete(request, actions);
        } else if (!request.isComplete() && request.outstanding().isEmpty()) {
            lifecycle.retryOrGiveUp(request, attempt.server(), now, actions);
        }
        requests.evictIfDone(request);
    }

    private void endpointsUpdated(EndpointUpdate event) {
        discovery.updateReceived();
        endpoints.apply(event, now);
    }

    private void settingsChanged(SettingsChanged event) {
        applySettings(event.settings());
        endpointsUpdated(event.endpoints());
    }

    // A class whose name is also in the new settings keeps its statistics. Requests that have
    // already arrived keep their class and limits. If their class has been removed, they use the
    // row of the weight table that all classes share.
    private void applySettings(DecisionSettings next) {
        warmUp.applySettings(next.rules());
        subset.applySettings(next);
        probes.applySettings(next);
        probeBudget.applySettings(next.costs());
        slowStart.applySettings(next.rules());
        discovery.applySettings(next);
        lifecycle.applySettings(next);
        loadSource.applySettings(next);
        applyClasses(next);
    }

    private void applyClasses(DecisionSettings next) {
        LinkedHashSet<String> names = new LinkedHashSet<>();
        for (RequestClass requestClass : next.requestClasses()) {
            names.add(requestClass.name());
        }
        clientRetries.applySettings(next, names);
        weights.applyClasses(names);
        retryBudget.applyClasses(weights.classes());
        ring.forEach(
                server -> {
                    if (!server.rotation().isEmpty()) {
                        weights.applyClasses(server);
                    }
                });
    }

    // A server doesn't start work before it has received the last byte of the request body. If
    // streaming attempts counted as work, a few slow clients would make all servers look full. See
    // docs/design.md, "streaming bodies".
    private void bodyStreaming(RequestBodyStreaming event) {
        Attempt attempt = requests.findAttempt(event.id(), event.attempt());
        if (attempt != null && !attempt.isBodyStreaming()) {
            attempt.request().markUnrepeatable();
            outstanding.finish(attempt);
            attempt.bodyStreaming();
        }
    }

    private void bodySent(RequestBodySent event) {
        Attempt attempt = requests.findAttempt(event.id(), event.attempt());
        if (attempt != null && attempt.isBodyStreaming()) {
            attempt.request().markUnrepeatable();
            outstanding.start(attempt);
            attempt.bodySent(now);
        }
    }

    @Override
    public EndpointStatus endpointStatus(long at, long serverId) {
        Server server = ring.get(serverId);
        if (server == null || server.state() != EndpointState.UP) {
            return EndpointStatus.DRAINING;
        }
        if (server.health().isEjected(at)) {
            return EndpointStatus.EJECTED;
        }
        return probes.isUnresponsive(server, now)
                ? EndpointStatus.UNRESPONSIVE
                : EndpointStatus.ACTIVE;
    }

    @Override
    public boolean mayBegin(long at, String id, int attemptNumber) {
        Attempt attempt = requests.findAttempt(id, attemptNumber);
        return attempt != null
                && RepeatRules.mayBegin(attempt, at)
                && slowStart.permitsStart(attempt, at);
    }

    @Override
    public boolean mightRetry(long at, String id, int attemptNumber) {
        Attempt attempt = requests.findAttempt(id, attemptNumber);
        return attempt != null && lifecycle.mightRetry(attempt, at);
    }

    /** Returns how many servers the operations on the ring have visited, as a measure of cost. */
    long serverVisits() {
        return ring.visits();
    }
}
