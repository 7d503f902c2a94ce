// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.HashSet;
import java.util.Set;

/**
 * Limits how many request and response bodies are streamed at the same time, in proportion to the
 * memory limit. During a hot restart each of the node's two processes has half of it.
 */
final class StreamBudget {

    // A stream holds at most 64 KiB in memory, so that all streams together hold at most an eighth
    // of the limit.
    private static final int STREAMS_PER_MB = 2;
    private static final int MIN_STREAMS = 2;
    // Fraction of the streams that requests may use. The rest is reserved for responses, because
    // servers have done the work for them and they can no longer be rejected.
    private static final double REQUEST_RATIO = 0.75;

    private final int memoryMb;
    private final SocketBudget sockets;
    private final Set<InFlightRequest> streaming = new HashSet<>();

    StreamBudget(int memoryMb, SocketBudget sockets) {
        this.memoryMb = memoryMb;
        this.sockets = sockets;
    }

    private int maxStreams() {
        return Math.max(MIN_STREAMS, memoryMb * STREAMS_PER_MB / (sockets.isShared() ? 2 : 1));
    }

    /** Whether one more request may be streamed. */
    boolean admitsRequest() {
        return streaming.size() < maxStreams() * REQUEST_RATIO;
    }

    /** Whether one more response may be streamed. */
    boolean admitsResponse() {
        return streaming.size() < maxStreams();
    }

    void add(InFlightRequest request) {
        streaming.add(request);
    }

    void remove(InFlightRequest request) {
        streaming.remove(request);
    }
}
