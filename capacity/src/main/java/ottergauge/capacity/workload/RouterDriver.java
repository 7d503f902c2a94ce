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

/** Runs a router on a simulated clock up to its first poll of discovery, and answers its polls. */
public final class RouterDriver {

    // A router polls discovery for the first time within 200 ms of its start. This time, in
    // microseconds, is 50 ms longer.
    private static final long FIRST_POLL_WITHIN_US = 250_000;
    // Time between two discovery responses, in microseconds. It is so short that no window of the
    // decision engine ends between them.
    private static final long ANSWER_INTERVAL_US = 1;

    /**
     * Keeps the id of the pending discovery poll and counts the polls; ignores all other effects.
     */
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

    /** Starts a router with the endpoint list of its configuration. */
    public RouterDriver(NodeConfig config) {
        router = new Router(config, polls);
        router.start(now);
    }

    /** Advances the clock until the router polls discovery for the first time. */
    public void awaitFirstPoll() {
        now += FIRST_POLL_WITHIN_US;
        router.handle(now, new Event.TimerFired(new Timer.Decision("tick")));
        if (polls.count == 0) {
            throw new IllegalStateException("the router did not poll discovery after its start");
        }
    }

    /** Answers the pending poll and returns the number of polls since the start. */
    public long answer(EndpointList list) {
        long countBefore = polls.count;
        now += ANSWER_INTERVAL_US;
        router.handle(now, new Event.EndpointListReceived(polls.currentPoll, list));
        if (polls.count == countBefore) {
            throw new IllegalStateException(
                    "the router did not poll discovery again after a response");
        }
        return polls.count;
    }

    /** Returns the router, so that its retained heap can be measured. */
    public Router router() {
        return router;
    }
}
