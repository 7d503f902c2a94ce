// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.server;

import java.util.HashMap;
import java.util.Map;

/**
 * The idempotency keys that a group of servers has seen; a repeat within the window has no effect.
 */
public final class DeduplicationCache {

    private final Map<String, Long> expiryByKey = new HashMap<>();

    /**
     * Whether a request with this key takes effect now. If so, repeats have no effect until the
     * window has passed.
     */
    public boolean isFirst(long now, String key, long window) {
        Long expiry = expiryByKey.get(key);
        if (expiry != null && now < expiry) {
            return false;
        }
        expiryByKey.put(key, now + window);
        if (expiryByKey.size() > 100_000) {
            expiryByKey.values().removeIf(each -> each <= now);
        }
        return true;
    }
}
