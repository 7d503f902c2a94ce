// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.statistics;

import java.util.Comparator;
import java.util.stream.IntStream;

/**
 * The observations of one node: the versions that took effect on it, and its traffic. Times are
 * microseconds.
 */
final class NodeObservations {

    private static final long BYTE_INTERVAL = 100_000;
    private static final long TRAFFIC_WINDOW = 10_000_000;

    private final LongTable versions = new LongTable(2);
    private final LongTable traffic = new LongTable(3);
    private String digest = "";
    private long currentVersion;

    void recordVersion(long version, long at) {
        versions.add(version, at);
        currentVersion = version;
    }

    /** Records that the node has lost its state, so that no version is in effect on it. */
    void clearState() {
        currentVersion = 0;
    }

    void recordTraffic(long bytesIn, long bytesOut, long at) {
        traffic.add(bytesIn, bytesOut, at);
    }

    void setDigest(String newDigest) {
        digest = newDigest;
    }

    String digest() {
        return digest;
    }

    /** Returns the version that is in effect now. */
    long currentVersion() {
        return currentVersion;
    }

    /**
     * Returns when this version or a newer one first took effect, at or after {@code from}; -1 if
     * it did not.
     */
    long firstReached(long version, long from) {
        for (int row = 0; row < versions.rows(); row++) {
            if (versions.get(row, 0) >= version && versions.get(row, 1) >= from) {
                return versions.get(row, 1);
            }
        }
        return -1;
    }

    /**
     * Returns the bytes in both directions of intervals that start after {@code from} and before
     * {@code until}.
     */
    long bytes(long from, long until) {
        long sum = 0;
        for (int row = 0; row < traffic.rows(); row++) {
            if (traffic.get(row, 2) > from && traffic.get(row, 2) < until) {
                sum += traffic.get(row, 0) + traffic.get(row, 1);
            }
        }
        return sum;
    }

    /**
     * Returns the largest number of bytes, in both directions, within any ten seconds of a period.
     * Bytes are counted in intervals of 100 ms; an interval that lies only partly in the ten
     * seconds counts in full.
     */
    long maxBytesInWindow(long from, long until) {
        long[][] rows = sorted(from, until);
        long maxSum = 0;
        long sum = 0;
        int first = 0;
        for (long[] row : rows) {
            sum += row[1];
            while (rows[first][0] <= row[0] - TRAFFIC_WINDOW - BYTE_INTERVAL) {
                sum -= rows[first][1];
                first++;
            }
            maxSum = Math.max(maxSum, sum);
        }
        return maxSum;
    }

    // Sorted by time, since bytes are reported separately for each source of state.
    private long[][] sorted(long from, long until) {
        return IntStream.range(0, traffic.rows())
                .mapToObj(
                        row ->
                                new long[] {
                                    traffic.get(row, 2), traffic.get(row, 0) + traffic.get(row, 1)
                                })
                .filter(row -> row[0] > from && row[0] < until)
                .sorted(Comparator.comparingLong(row -> row[0]))
                .toArray(long[][]::new);
    }
}
