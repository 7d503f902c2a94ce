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
    private static final long FIRST_CALL_WITHIN = 250_000;
    // Discovery's answers follow each other this closely, so that no window of the decisions ends
    // between.
    private static final long TICK = 1;

    /** Keeps the number of the call to discovery that is out and nothing else. */
    private static final class Calls implements Consumer<Effect> {
        private long current;
        private long made;

        @Override
        public void accept(Effect effect) {
            if (effect instanceof PollDiscovery call) {
                current = call.poll();
                made++;
            }
        }
    }

    private final Calls calls = new Calls();
    private final Router router;
    private long now = 1_000_000;

    /** Starts a router, which follows the list of its configuration. */
    public RouterDriver(NodeConfig config) {
        router = new Router(config, calls);
        router.start(now);
    }

    /** Lets time pass until discovery is called for the first time. */
    public void callDiscovery() {
        now += FIRST_CALL_WITHIN;
        router.handle(now, new Event.TimerFired(new Timer.Decision("tick")));
        if (calls.made == 0) {
            throw new IllegalStateException("the router did not call discovery");
        }
    }

    /** Answers the call that is out; gives back how many calls were made since the start. */
    public long answer(EndpointList list) {
        long before = calls.made;
        now += TICK;
        router.handle(now, new Event.EndpointListReceived(calls.current, list));
        if (calls.made == before) {
            throw new IllegalStateException("the router did not go on with its watch");
        }
        return calls.made;
    }

    /** The router, for a look at what it retains. */
    public Router router() {
        return router;
    }
}
