// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.statistics;

import java.util.Comparator;
import java.util.stream.IntStream;

/**
 * What was seen of one node: the versions that came in force, and its bytes. Instants are
 * microseconds.
 */
final class NodeObservations {

    private static final long BYTES_SPAN = 100_000;
    private static final long WINDOW = 10_000_000;

    private final LongTable versions = new LongTable(2);
    private final LongTable traffic = new LongTable(3);
    private String digest = "";
    private long inForce;

    void inForce(long version, long at) {
        versions.add(version, at);
        inForce = version;
    }

    /** It has lost its state. */
    void restarted() {
        inForce = 0;
    }

    void traffic(long bytesIn, long bytesOut, long at) {
        traffic.add(bytesIn, bytesOut, at);
    }

    void digest(String told) {
        digest = told;
    }

    String digest() {
        return digest;
    }

    /** The version in force now. */
    long inForce() {
        return inForce;
    }

    /**
     * When this version or a newer one came in force first, from an instant on; negative if never.
     */
    long reached(long version, long from) {
        for (int row = 0; row < versions.rows(); row++) {
            if (versions.get(row, 0) >= version && versions.get(row, 1) >= from) {
                return versions.get(row, 1);
            }
        }
        return -1;
    }

    /** All bytes told of instants after {@code from} and before {@code until}, either way. */
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
     * The most bytes, either way, in any ten seconds of a span of time. Bytes are known by tenths
     * of a second; a tenth that lies only partly in the ten seconds counts whole.
     */
    long mostBytesInWindow(long from, long until) {
        long[][] rows = sorted(from, until);
        long most = 0;
        long sum = 0;
        int first = 0;
        for (long[] row : rows) {
            sum += row[1];
            while (rows[first][0] <= row[0] - WINDOW - BYTES_SPAN) {
                sum -= rows[first][1];
                first++;
            }
            most = Math.max(most, sum);
        }
        return most;
    }

    // By instant: what is counted for one source of state is told apart from what is for another.
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
