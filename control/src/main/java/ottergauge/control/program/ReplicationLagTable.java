// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.program;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import ottergauge.control.client.ProcessStatus;
import ottergauge.control.client.ProcessStatus.NodeStatus;
import ottergauge.resources.LogPosition;

/**
 * The effective version of each control process and node, and its replication lag: the number of
 * versions by which it is behind the newest position of any process.
 */
final class ReplicationLagTable {

    /** The lag of a process or node that follows another log or no log. */
    private static final long OTHER_LOG = Long.MAX_VALUE;

    private static final String FORMAT = "%-24s %-12s %-10s %12s %10s %10s %10s%n";
    private static final long MILLIS_PER_SECOND = 1_000;

    /** A process or a node; {@code reportAge} is formatted for display. */
    private record Row(
            String name,
            String region,
            String process,
            LogPosition effectivePosition,
            long rejectedVersion,
            String reportAge) {}

    private final LogPosition newest;
    private final List<Row> rows;

    private ReplicationLagTable(LogPosition newest, List<Row> rows) {
        this.newest = newest;
        this.rows = rows;
    }

    /**
     * Builds the table. If several processes have a report of a node, the newest report is used.
     */
    static ReplicationLagTable of(List<ProcessStatus> processes) {
        List<Row> rows = new ArrayList<>();
        Map<String, NodeStatus> nodes = new TreeMap<>();
        Map<String, String> reportedTo = new HashMap<>();
        for (ProcessStatus process : processes) {
            rows.add(
                    new Row(process.name(), "control", process.role(), process.position(), 0, "-"));
            for (NodeStatus node : process.nodes()) {
                NodeStatus known = nodes.get(node.name());
                if (known == null || node.reportAgeMs() < known.reportAgeMs()) {
                    nodes.put(node.name(), node);
                    reportedTo.put(node.name(), process.name());
                }
            }
        }
        for (NodeStatus node : nodes.values()) {
            rows.add(
                    new Row(
                            node.name(),
                            node.region(),
                            reportedTo.get(node.name()),
                            node.effectivePosition(),
                            node.rejectedVersion(),
                            formatAge(node.reportAgeMs())));
        }
        return new ReplicationLagTable(newest(processes), rows);
    }

    private static String formatAge(long ageMs) {
        return ageMs < MILLIS_PER_SECOND ? ageMs + " ms" : ageMs / MILLIS_PER_SECOND + " s";
    }

    // If processes follow different logs, the table has to show that fault. The reference is the
    // log that most processes follow; the higher version decides a tie.
    private static LogPosition newest(List<ProcessStatus> processes) {
        Map<String, Long> processesByLog = new HashMap<>();
        processes.forEach(process -> processesByLog.merge(process.position().log(), 1L, Long::sum));
        return processes.stream()
                .map(ProcessStatus::position)
                .max(
                        Comparator.comparing(
                                        (LogPosition position) ->
                                                processesByLog.get(position.log()))
                                .thenComparing(LogPosition::version)
                                .thenComparing(LogPosition::log))
                .orElseThrow();
    }

    private long lag(Row row) {
        return row.effectivePosition().log().equals(newest.log())
                ? Math.max(0, newest.version() - row.effectivePosition().version())
                : OTHER_LOG;
    }

    /**
     * The largest lag in versions; {@code Long.MAX_VALUE} if a process or node follows another log.
     */
    long maxLagVersions() {
        return rows.stream().mapToLong(this::lag).max().orElse(0);
    }

    /** Prints the table in the format of the status command. */
    void print(PrintWriter out) {
        out.printf(FORMAT, "name", "region", "process", "in force", "behind", "refused", "heard");
        for (Row row : rows) {
            long lag = lag(row);
            out.printf(
                    FORMAT,
                    row.name(),
                    row.region(),
                    row.process(),
                    row.effectivePosition().version(),
                    lag == OTHER_LOG ? "other log" : lag,
                    row.rejectedVersion() == 0 ? "-" : row.rejectedVersion(),
                    row.reportAge());
        }
        long current = rows.stream().filter(row -> lag(row) == 0).count();
        out.printf(
                "log %s, version %d: %d of %d have it in force%n",
                newest.log(), newest.version(), current, rows.size());
    }
}
