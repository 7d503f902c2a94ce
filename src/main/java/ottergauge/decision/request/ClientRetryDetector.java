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
 * Distinguishes clients' retries from first attempts. An unmarked retry is detected by two signs:
 * its client's timeout is shorter than the longest one seen in its class, and it follows a request
 * that got no successful response. With the first sign alone, all requests with short client
 * timeouts would count as retries. See docs/design.md, "Client retries".
 */
public final class ClientRetryDetector {

    // Assumed fraction of the requests without a successful response that clients retry. The
    // latency objective of a retry ends sooner. With a higher value, rejections would therefore
    // cause further rejections.
    private static final double RETRIED_RATIO = 0.5;

    private final Map<String, Long> longestTimeouts = new HashMap<>();
    private double expectedRetries;
    private boolean retriesMarked;
    private long responseTolerance;

    /**
     * Applies new settings. A class whose name is also in the new settings keeps the longest client
     * timeout that was seen for it.
     */
    public void applySettings(DecisionSettings next, Collection<String> classNames) {
        retriesMarked = next.clientRetriesMarked();
        responseTolerance = next.rules().responseTolerance();
        longestTimeouts.keySet().retainAll(classNames);
    }

    /** Returns whether a request that arrives now is treated as a client's retry. */
    public boolean isRetry(RequestArrived event, RequestClass requestClass, long now) {
        if (retriesMarked) {
            return event.clientRetry();
        }
        long clientTimeout = event.giveUpAt() - now;
        long longestTimeout = longestTimeouts.merge(requestClass.name(), clientTimeout, Math::max);
        boolean retry = expectedRetries >= 1 && clientTimeout < longestTimeout - responseTolerance;
        expectedRetries -= retry ? 1 : 0;
        return retry;
    }

    /** Records a request whose client got no successful response and may retry it. */
    public void recordGivenUp(Request request) {
        expectedRetries += request.isClientRetry() ? RETRIED_RATIO / 2 : RETRIED_RATIO;
    }

    /**
     * Ends a measurement window. The retries that are still expected become less likely, so their
     * number is halved.
     */
    public void endWindow() {
        expectedRetries /= 2;
    }
}
