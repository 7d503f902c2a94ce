// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.config;

/**
 * Bounds of the HTTP server.
 *
 * @param connections connections that are open at once
 * @param waitingPolls calls for changes that wait at once
 * @param snapshotBytesPerSecond the rate at which pages of snapshots are written, those of all
 *     nodes together
 * @param slowReaderMs how long a client may take to read an answer
 * @param idleMs how long a connection may be open with no call on it, and a call may take to come
 *     in whole
 */
public record ServerLimits(
        int maxConnections,
        int maxPendingPolls,
        long snapshotBytesPerSecond,
        long slowReaderTimeoutMs,
        long idleTimeoutMs) {

    public static final ServerLimits DEFAULT =
            new ServerLimits(8_192, 4_096, 20_000_000, 10_000, 60_000);
}
