// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

/**
 * Limits the bytes that the node reads ahead of the servers: it reads what a client has sent while
 * its request waited for a server, to learn whether the client is still connected. All connections
 * share one budget, so that read-ahead takes a bounded part of the memory for I/O buffers.
 */
final class ReadAheadBudget {

    /**
     * As much as the operating system of one client holds by default at most (the upper limit of
     * {@code tcp_wmem}), with what the node's holds.
     */
    static final long MAX_BYTES = 5 * 1024 * 1024;

    private long availableBytes = MAX_BYTES;

    /** Bytes that were read ahead. They count until they are released, which has an effect once. */
    final class Reservation {
        private long bytes;

        private Reservation(long bytes) {
            this.bytes = bytes;
        }

        void release() {
            availableBytes += bytes;
            bytes = 0;
        }
    }

    long availableBytes() {
        return availableBytes;
    }

    /** Counts bytes that were read ahead. The last read may exceed the budget. */
    Reservation reserve(long bytes) {
        availableBytes -= bytes;
        return new Reservation(bytes);
    }
}
