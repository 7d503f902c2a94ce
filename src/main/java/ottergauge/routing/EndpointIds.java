// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.nio.charset.StandardCharsets;

/**
 * Numbers for servers, the same at every node and after every restart: the decisions sort by them.
 */
final class EndpointIds {

    // The 64-bit FNV-1a hash.
    private static final long OFFSET = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;

    private EndpointIds() {}

    static long of(String host) {
        long hash = OFFSET;
        for (byte b : host.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (b & 0xff)) * PRIME;
        }
        return hash;
    }
}
