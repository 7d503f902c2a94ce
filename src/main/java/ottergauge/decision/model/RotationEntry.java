// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.model;

import java.util.List;

/**
 * A server's statistics by row of the class index. They are created when the server first joins the
 * subset.
 */
public final class RotationEntry {

    // Each window without samples halves the sample count. After this number of windows even the
    // largest int has been halved to 0, so ending more windows would change nothing.
    private static final int MAX_WINDOWS_CAUGHT_UP = Integer.SIZE;

    private List<ServerStatistics> rows = List.of();
    private long windowsEnded;
    private boolean candidate;

    /** Returns whether the server has no statistics. */
    public boolean isEmpty() {
        return rows.isEmpty();
    }

    /** Returns the statistics of all rows, or an empty list before {@link #setRows}. */
    public List<ServerStatistics> rows() {
        return rows;
    }

    /** Replaces the statistics after the class index has changed. */
    public void setRows(List<ServerStatistics> rows) {
        this.rows = rows;
    }

    /** Returns the statistics of one row. */
    public ServerStatistics row(int row) {
        return rows.get(row);
    }

    /**
     * Ends all windows up to this count. Each entry catches up when it is next used, so the end of
     * a window doesn't have to visit all servers.
     */
    public void endWindows(long ended) {
        windowsEnded = Math.max(windowsEnded, ended - MAX_WINDOWS_CAUGHT_UP);
        for (; windowsEnded < ended; windowsEnded++) {
            for (ServerStatistics row : rows) {
                row.endWindow();
            }
        }
    }

    /** Returns whether the server is a candidate in the current selection. */
    public boolean isCandidate() {
        return candidate;
    }

    /** Sets whether the server is a candidate in the current selection. */
    public void setCandidate(boolean candidate) {
        this.candidate = candidate;
    }
}
