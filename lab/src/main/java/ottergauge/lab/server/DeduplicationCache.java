// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.server;

import java.util.HashMap;
import java.util.Map;

/**
 * What the servers of one group remember of keyed requests: a repeat within the window has no
 * effect.
 */
public final class DeduplicationCache {

    private final Map<String, Long> expiryByKey = new HashMap<>();

    /**
     * Whether a request with this key has its effect now; from then on repeats have none for the
     * window.
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
