// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.nio.charset.StandardCharsets;

/**
 * Derives the ids of servers from the 64-bit FNV-1a hash of their names. An id is the same at every
 * node and after every restart, since the decision module orders servers by id.
 */
final class EndpointIds {

    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private EndpointIds() {}

    static long of(String name) {
        long hash = FNV_OFFSET_BASIS;
        for (byte b : name.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (b & 0xff)) * FNV_PRIME;
        }
        return hash;
    }
}
