// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

/**
 * Limits the memory of all request bodies that are buffered. During a hot restart the node's two
 * processes share the limit.
 */
final class BufferBudget {

    private static final long BYTES_PER_MB = 1024 * 1024;
    private static final double MEMORY_RATIO = 0.125;

    private final long memoryBytes;
    private final SocketBudget sockets;
    private long usedBytes;

    /** Creates a budget with no bodies; {@code memoryMb} is the node's memory limit. */
    BufferBudget(int memoryMb, SocketBudget sockets) {
        memoryBytes = memoryMb * BYTES_PER_MB;
        this.sockets = sockets;
    }

    /** Adds bytes to those in use, or subtracts them if negative. */
    void add(long bytes) {
        usedBytes += bytes;
    }

    boolean isExceeded() {
        return usedBytes > memoryBytes * MEMORY_RATIO / (sockets.isShared() ? 2 : 1);
    }
}
