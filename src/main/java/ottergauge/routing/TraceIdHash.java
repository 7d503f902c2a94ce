// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

/**
 * A 64-bit hash of a trace id (FNV-1a), which stands for it where ids are kept for a while: clients
 * choose their length.
 */
final class TraceIdHash {

    private static final long OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;

    private TraceIdHash() {}

    /** The hash of a trace id; never 0. */
    static long of(String traceId) {
        long hash = OFFSET_BASIS;
        for (int i = 0; i < traceId.length(); i++) {
            hash = (hash ^ traceId.charAt(i)) * PRIME;
        }
        return hash == 0 ? 1 : hash;
    }
}
