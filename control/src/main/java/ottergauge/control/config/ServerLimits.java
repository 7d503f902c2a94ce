// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.config;

/**
 * Limits of the HTTP server.
 *
 * @param maxConnections open connections
 * @param maxPendingPolls pending long polls
 * @param snapshotBytesPerSecond the rate at which snapshot pages are written to all nodes together,
 *     in bytes a second
 * @param slowReaderTimeoutMs the longest time in milliseconds for a client to read a response
 * @param idleTimeoutMs the longest time in milliseconds that a connection may be without a complete
 *     request
 */
public record ServerLimits(
        int maxConnections,
        int maxPendingPolls,
        long snapshotBytesPerSecond,
        long slowReaderTimeoutMs,
        long idleTimeoutMs) {

    /** Limits unless the configuration says otherwise. */
    public static final ServerLimits DEFAULT =
            new ServerLimits(8_192, 4_096, 20_000_000, 10_000, 60_000);
}
