// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.model;

import java.util.List;

/** A server's statistics by row of the class index, once it has been in the subset. */
public final class RotationEntry {

    // Past so many windows even the largest sample count has been halved to none.
    private static final int MAX_WINDOWS_CAUGHT_UP = Integer.SIZE;

    private List<ServerStatistics> rows = List.of();
    private long windowsEnded;
    private boolean candidate;

    /** Whether the server has statistics at all. */
    public boolean isEmpty() {
        return rows.isEmpty();
    }

    /** Returns the statistics of all rows; empty until {@link #setRows}. */
    public List<ServerStatistics> rows() {
        return rows;
    }

    /** Replaces the statistics, after the class index has changed. */
    public void setRows(List<ServerStatistics> rows) {
        this.rows = rows;
    }

    /** Returns the statistics of one row. */
    public ServerStatistics row(int row) {
        return rows.get(row);
    }

    /** Ends the windows up to this count: no end of a window has to visit all servers. */
    public void endWindows(long ended) {
        windowsEnded = Math.max(windowsEnded, ended - MAX_WINDOWS_CAUGHT_UP);
        for (; windowsEnded < ended; windowsEnded++) {
            for (ServerStatistics row : rows) {
                row.endWindow();
            }
        }
    }

    /** Whether the server takes part in the present pick. */
    public boolean isCandidate() {
        return candidate;
    }

    /** Sets whether the server takes part in the present pick. */
    public void setCandidate(boolean candidate) {
        this.candidate = candidate;
    }
}
