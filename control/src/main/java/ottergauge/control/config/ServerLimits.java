// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.config;

/**
 * Limits of the HTTP server.
 *
 * @param maxConnections the maximum number of open connections
 * @param maxPendingPolls the maximum number of pending long polls
 * @param snapshotBytesPerSecond the rate at which snapshot pages are written to all nodes together,
 *     in bytes per second
 * @param slowReaderTimeoutMs the maximum time in milliseconds for a client to read a response
 * @param idleTimeoutMs the maximum time in milliseconds that a connection may stay open without a
 *     complete request
 */
public record ServerLimits(
        int maxConnections,
        int maxPendingPolls,
        long snapshotBytesPerSecond,
        long slowReaderTimeoutMs,
        long idleTimeoutMs) {

    /** The default limits. */
    public static final ServerLimits DEFAULT =
            new ServerLimits(8_192, 4_096, 20_000_000, 10_000, 60_000);
}
