// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.workload;

import java.util.function.Consumer;
import ottergauge.protocol.EndpointList;
import ottergauge.protocol.NodeConfig;
import ottergauge.routing.Effect;
import ottergauge.routing.Effect.PollDiscovery;
import ottergauge.routing.Event;
import ottergauge.routing.Router;
import ottergauge.routing.Timer;

/** Brings a router to the point at which discovery is called, and answers its calls. */
public final class RouterDriver {

    // The first call comes within 200 ms of the start.
    private static final long FIRST_POLL_WITHIN_US = 250_000;
    // Discovery's answers follow each other this closely, so that no window of the decisions ends
    // between.
    private static final long ANSWER_INTERVAL_US = 1;

    /** Keeps the number of the call to discovery that is out and nothing else. */
    private static final class PollRecorder implements Consumer<Effect> {
        private long currentPoll;
        private long count;

        @Override
        public void accept(Effect effect) {
            if (effect instanceof PollDiscovery discoveryPoll) {
                currentPoll = discoveryPoll.poll();
                count++;
            }
        }
    }

    private final PollRecorder polls = new PollRecorder();
    private final Router router;
    private long now = 1_000_000;

    /** Starts a router, which follows the list of its configuration. */
    public RouterDriver(NodeConfig config) {
        router = new Router(config, polls);
        router.start(now);
    }

    /** Lets time pass until discovery is called for the first time. */
    public void awaitFirstPoll() {
        now += FIRST_POLL_WITHIN_US;
        router.handle(now, new Event.TimerFired(new Timer.Decision("tick")));
        if (polls.count == 0) {
            throw new IllegalStateException("the router did not call discovery");
        }
    }

    /** Answers the call that is out; gives back how many calls were made since the start. */
    public long answer(EndpointList list) {
        long countBefore = polls.count;
        now += ANSWER_INTERVAL_US;
        router.handle(now, new Event.EndpointListReceived(polls.currentPoll, list));
        if (polls.count == countBefore) {
            throw new IllegalStateException("the router did not go on with its watch");
        }
        return polls.count;
    }

    /** The router, for a look at what it retains. */
    public Router router() {
        return router;
    }
}
