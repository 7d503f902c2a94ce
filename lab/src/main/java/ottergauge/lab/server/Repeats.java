// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.server;

import java.util.HashMap;
import java.util.Map;

/**
 * What the servers of one group remember of keyed requests: a repeat within the window has no
 * effect.
 */
public final class Repeats {

    private final Map<String, Long> until = new HashMap<>();

    /**
     * Whether a request with this key has its effect now; from then on repeats have none for the
     * window.
     */
    public boolean takes(long now, String key, long window) {
        Long end = until.get(key);
        if (end != null && now < end) {
            return false;
        }
        until.put(key, now + window);
        if (until.size() > 100_000) {
            until.values().removeIf(each -> each <= now);
        }
        return true;
    }
}
