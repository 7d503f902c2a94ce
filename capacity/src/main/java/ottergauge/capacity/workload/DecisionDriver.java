// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.workload;

import ottergauge.decision.DecisionEngine;
import ottergauge.decision.api.AttemptResult;
import ottergauge.decision.api.DecisionAction;
import ottergauge.decision.api.DecisionAction.FailRequest;
import ottergauge.decision.api.DecisionAction.RejectRequest;
import ottergauge.decision.api.DecisionAction.SendAttempt;
import ottergauge.decision.api.DecisionActionSink;
import ottergauge.decision.api.DecisionEvent.AttemptEnded;
import ottergauge.decision.api.DecisionEvent.EndpointUpdate;
import ottergauge.decision.api.DecisionEvent.RequestArrived;
import ottergauge.decision.api.DecisionEvent.TimerFired;
import ottergauge.decision.api.DecisionSettings;
import ottergauge.decision.api.LoadReport;

/**
 * Drives a decision engine through one request at a time, at the request rate of one node in a
 * fleet of 780 nodes. All times are in microseconds of a simulated clock.
 */
public final class DecisionDriver {

    /** Request rate of one node. */
    public static final int REQUESTS_PER_SECOND = 62;

    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long WINDOW_US = 5 * MICROS_PER_SECOND;
    private static final long SERVICE_TIME_US = 10_000;
    private static final long REQUEST_TIMEOUT_US = MICROS_PER_SECOND;
    private static final LoadReport LOAD_REPORT =
            new LoadReport(1, 0, 0.1, SERVICE_TIME_US, Double.NaN);

    /** Keeps the last attempt, and counts the requests that were rejected or failed. */
    private static final class ActionRecorder implements DecisionActionSink {
        private SendAttempt lastAttempt;
        private int failures;

        @Override
        public void accept(DecisionAction action) {
            if (action instanceof SendAttempt send) {
                lastAttempt = send;
            } else if (action instanceof RejectRequest || action instanceof FailRequest) {
                failures++;
            }
        }
    }

    private final DecisionEngine engine;
    private final ActionRecorder actions = new ActionRecorder();
    private final int classes;
    private long now = MICROS_PER_SECOND;
    private long requests;

    /** Creates an engine and gives it the endpoint list. */
    public DecisionDriver(DecisionSettings settings, long seed, EndpointUpdate endpoints) {
        engine = new DecisionEngine(settings, seed);
        classes = settings.requestClasses().size();
        engine.handle(now, endpoints, actions);
    }

    /** Gives the engine an endpoint list or an incremental update. */
    public void applyUpdate(EndpointUpdate list) {
        now++;
        engine.handle(now, list, actions);
    }

    /**
     * Runs one request from its arrival to the response of the chosen server, and returns the id of
     * that server. The request classes take turns.
     */
    public long serveOne() {
        String id = Long.toString(++requests);
        int requestClass = (int) (requests % classes);
        actions.lastAttempt = null;
        engine.handle(
                now,
                new RequestArrived(id, requestClass, now + REQUEST_TIMEOUT_US, false, 0),
                actions);
        SendAttempt send = actions.lastAttempt;
        if (send == null || !send.id().equals(id)) {
            throw new IllegalStateException("request " + id + " was not sent to a server");
        }
        engine.handle(
                now + SERVICE_TIME_US,
                new AttemptEnded(
                        id,
                        0,
                        send.server(),
                        AttemptResult.SERVED,
                        SERVICE_TIME_US,
                        true,
                        LOAD_REPORT),
                actions);
        now += MICROS_PER_SECOND / REQUESTS_PER_SECOND;
        if (actions.failures > 0) {
            throw new IllegalStateException(
                    "request " + id + " was rejected or failed; expected it to be served");
        }
        return send.server();
    }

    /** Serves the requests of several windows, so that the engine has computed server weights. */
    public void serveWindows(int windows) {
        for (long left = windows * WINDOW_US / MICROS_PER_SECOND * REQUESTS_PER_SECOND;
                left > 0;
                left--) {
            serveOne();
        }
    }

    /**
     * Advances the clock by one window without requests, so that the engine processes the end of
     * the window.
     */
    public void endWindow() {
        now += WINDOW_US;
        engine.handle(now, new TimerFired("tick"), actions);
    }

    /** Returns the engine, so that its retained heap can be measured. */
    public DecisionEngine engine() {
        return engine;
    }
}
