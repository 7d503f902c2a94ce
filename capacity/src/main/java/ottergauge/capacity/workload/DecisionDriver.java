// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.workload;

import ottergauge.Decide;
import ottergauge.DecisionApi.Action;
import ottergauge.DecisionApi.ActionSink;
import ottergauge.DecisionApi.AttemptEnded;
import ottergauge.DecisionApi.Fail;
import ottergauge.DecisionApi.LoadReport;
import ottergauge.DecisionApi.Refuse;
import ottergauge.DecisionApi.RequestArrived;
import ottergauge.DecisionApi.Result;
import ottergauge.DecisionApi.Send;
import ottergauge.DecisionApi.ServerList;
import ottergauge.DecisionApi.Settings;
import ottergauge.DecisionApi.TimerFired;

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
    private static final class Sends implements ActionSink {
        private Send last;
        private int given;

        @Override
        public void accept(Action action) {
            if (action instanceof Send send) {
                last = send;
            } else if (action instanceof Refuse || action instanceof Fail) {
                given++;
            }
        }
    }

    private final Decide decide;
    private final Sends sends = new Sends();
    private final int classes;
    private long now = SECOND;
    private long requests;

    /** A module that has been told of these servers. */
    public DecisionDriver(Settings settings, long seed, ServerList servers) {
        decide = new Decide(settings, seed);
        classes = settings.classes().size();
        decide.handle(now, servers, sends);
    }

    /** Tells the module of a list at once. */
    public void follow(ServerList list) {
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
        Send send = sends.last;
        if (send == null || !send.id().equals(id)) {
            throw new IllegalStateException("request " + id + " was not sent");
        }
        decide.handle(
                now + SERVICE,
                new AttemptEnded(id, 0, send.server(), Result.SERVED, SERVICE, true, REPORT),
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
    public Decide decide() {
        return decide;
    }
}
