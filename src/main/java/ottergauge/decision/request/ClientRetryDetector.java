// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.request;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import ottergauge.decision.api.DecisionEvent.RequestArrived;
import ottergauge.decision.api.DecisionSettings;
import ottergauge.decision.api.RequestClass;
import ottergauge.decision.model.Request;

/**
 * Tells clients' retries from first attempts. One that isn't marked has less time left than others
 * of its class and follows a request that was given up on; by time alone, all impatient clients
 * would count as retrying. See docs/design.md, "Client retries".
 */
public final class ClientRetryDetector {

    // Of the requests given up on, the part that is retried: with more, rejections breed
    // rejections.
    private static final double RETRIED_RATIO = 0.5;

    private final Map<String, Long> longestPatience = new HashMap<>();
    private double expectedRetries;
    private boolean retriesMarked;
    private long responseTolerance;

    /** Takes other settings; what was learnt of a class stays with its name. */
    public void applySettings(DecisionSettings next, Collection<String> classNames) {
        retriesMarked = next.clientRetriesMarked();
        responseTolerance = next.rules().responseTolerance();
        longestPatience.keySet().retainAll(classNames);
    }

    /** Whether a request that arrives now is taken for a client's retry. */
    public boolean isRetry(RequestArrived event, RequestClass requestClass, long now) {
        if (retriesMarked) {
            return event.clientRetry();
        }
        long patience = event.giveUpAt() - now;
        long longest = longestPatience.merge(requestClass.name(), patience, Math::max);
        boolean retry = expectedRetries >= 1 && patience < longest - responseTolerance;
        expectedRetries -= retry ? 1 : 0;
        return retry;
    }

    /** Notes a request that its client didn't get a response to, and may retry. */
    public void recordGivenUp(Request request) {
        expectedRetries += request.isClientRetry() ? RETRIED_RATIO / 2 : RETRIED_RATIO;
    }

    /** Ends a measurement window: retries that haven't come become less likely. */
    public void endWindow() {
        expectedRetries /= 2;
    }
}
