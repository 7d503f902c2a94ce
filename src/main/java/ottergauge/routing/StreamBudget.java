// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.HashSet;
import java.util.Set;

/**
 * Limits how many request and response bodies are streamed at the same time. All streams together
 * hold at most a part of the memory limit, of which each of the node's two processes has half
 * during a hot restart, and at most a part of the memory that the process has for I/O buffers.
 */
final class StreamBudget {

    // The transport's limits on reads and on bytes that wait to be written bound what one stream
    // holds.
    private static final long MAX_BYTES_PER_STREAM = 64 * 1024;
    private static final long BYTES_PER_MB = 1024 * 1024;
    private static final double MEMORY_RATIO = 0.125;
    // The rest is for small messages and for the allocator, whose chunks are seldom full. An
    // allocation that finds no free I/O memory blocks the event loop for half a second.
    private static final double IO_MEMORY_RATIO = 0.6;
    private static final int MIN_STREAMS = 2;
    // Fraction of the streams that requests may use. The rest is reserved for responses, because
    // servers have done the work for them and they can no longer be rejected.
    private static final double REQUEST_RATIO = 0.75;

    private final long memoryBytes;
    private final long ioMemoryBytes;
    private final SocketBudget sockets;
    private final Set<InFlightRequest> streaming = new HashSet<>();

    /**
     * Creates a budget with no streams.
     *
     * @param memoryMb the node's memory limit
     * @param ioMemoryBytes how much memory this process has for I/O buffers
     */
    StreamBudget(int memoryMb, long ioMemoryBytes, SocketBudget sockets) {
        memoryBytes = memoryMb * BYTES_PER_MB;
        this.ioMemoryBytes = ioMemoryBytes;
        this.sockets = sockets;
    }

    private int maxStreams() {
        double ofLimit = memoryBytes * MEMORY_RATIO / (sockets.isShared() ? 2 : 1);
        double ofIoMemory = ioMemoryBytes * IO_MEMORY_RATIO;
        return (int) Math.max(MIN_STREAMS, Math.min(ofLimit, ofIoMemory) / MAX_BYTES_PER_STREAM);
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
