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

/** Lets a decision module serve requests one after the other, at the rate of one of 780 nodes. */
public final class DecisionDriver {

    /** Requests a second at one node. */
    public static final int REQUESTS_A_SECOND = 62;

    private static final long SECOND = 1_000_000;
    private static final long WINDOW = 5 * SECOND;
    private static final long SERVICE = 10_000;
    private static final long GIVE_UP_AFTER = SECOND;
    private static final LoadReport REPORT = new LoadReport(1, 0, 0.1, SERVICE, Double.NaN);

    /** Keeps the last send, and whether a request was given up. */
    private static final class Sends implements DecisionActionSink {
        private SendAttempt last;
        private int given;

        @Override
        public void accept(DecisionAction action) {
            if (action instanceof SendAttempt send) {
                last = send;
            } else if (action instanceof RejectRequest || action instanceof FailRequest) {
                given++;
            }
        }
    }

    private final DecisionEngine decide;
    private final Sends sends = new Sends();
    private final int classes;
    private long now = SECOND;
    private long requests;

    /** A module that has been told of these servers. */
    public DecisionDriver(DecisionSettings settings, long seed, EndpointUpdate servers) {
        decide = new DecisionEngine(settings, seed);
        classes = settings.requestClasses().size();
        decide.handle(now, servers, sends);
    }

    /** Tells the module of a list at once. */
    public void follow(EndpointUpdate list) {
        now++;
        decide.handle(now, list, sends);
    }

    /** A request arrives, is sent to a server and answered by it, each class in turn. */
    public long serve() {
        String id = Long.toString(++requests);
        int requestClass = (int) (requests % classes);
        sends.last = null;
        decide.handle(
                now, new RequestArrived(id, requestClass, now + GIVE_UP_AFTER, false, 0), sends);
        SendAttempt send = sends.last;
        if (send == null || !send.id().equals(id)) {
            throw new IllegalStateException("request " + id + " was not sent");
        }
        decide.handle(
                now + SERVICE,
                new AttemptEnded(id, 0, send.server(), AttemptResult.SERVED, SERVICE, true, REPORT),
                sends);
        now += SECOND / REQUESTS_A_SECOND;
        if (sends.given > 0) {
            throw new IllegalStateException("request " + id + " was given up");
        }
        return send.server();
    }

    /** Serves the requests of some windows, so that rows have their weights. */
    public void serveWindows(int windows) {
        for (long left = windows * WINDOW / SECOND * REQUESTS_A_SECOND; left > 0; left--) {
            serve();
        }
    }

    /** Lets a window end in which nothing was served. */
    public void endWindow() {
        now += WINDOW;
        decide.handle(now, new TimerFired("tick"), sends);
    }

    /** The module, for a look at what it retains. */
    public DecisionEngine decide() {
        return decide;
    }
}
