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
 * Who has which version in force, and by how much each is behind the newest one that any process
 * has.
 */
final class ReplicationLagTable {

    /** Of one that goes by another log, or by none. */
    private static final long ANOTHER_LOG = Long.MAX_VALUE;

    private static final String FORMAT = "%-24s %-12s %-10s %12s %10s %10s %10s%n";
    private static final long MS_PER_S = 1_000;

    /** A process or a node. */
    private record Row(
            String name,
            String region,
            String process,
            LogPosition effectiveVersion,
            long refused,
            String heard) {}

    private final LogPosition newest;
    private final List<Row> rows;

    private ReplicationLagTable(LogPosition newest, List<Row> rows) {
        this.newest = newest;
        this.rows = rows;
    }

    static ReplicationLagTable of(List<ProcessStatus> processes) {
        List<Row> rows = new ArrayList<>();
        Map<String, NodeStatus> nodes = new TreeMap<>();
        Map<String, String> heardBy = new HashMap<>();
        for (ProcessStatus process : processes) {
            rows.add(
                    new Row(process.name(), "control", process.role(), process.position(), 0, "-"));
            for (NodeStatus node : process.nodes()) {
                NodeStatus before = nodes.get(node.name());
                if (before == null || node.reportAgeMs() < before.reportAgeMs()) {
                    nodes.put(node.name(), node);
                    heardBy.put(node.name(), process.name());
                }
            }
        }
        nodes.values()
                .forEach(
                        node ->
                                rows.add(
                                        new Row(
                                                node.name(),
                                                node.region(),
                                                heardBy.get(node.name()),
                                                node.effectiveVersion(),
                                                node.refused(),
                                                heard(node.reportAgeMs()))));
        return new ReplicationLagTable(newest(processes), rows);
    }

    private static String heard(long ms) {
        return ms < MS_PER_S ? ms + " ms" : ms / MS_PER_S + " s";
    }

    // Several logs are a fault that has to be seen: that of most processes counts, then the larger
    // version.
    private static LogPosition newest(List<ProcessStatus> processes) {
        Map<String, Long> processesByLog = new HashMap<>();
        processes.forEach(process -> processesByLog.merge(process.position().log(), 1L, Long::sum));
        return processes.stream()
                .map(ProcessStatus::position)
                .max(
                        Comparator.comparing((LogPosition at) -> processesByLog.get(at.log()))
                                .thenComparing(LogPosition::version)
                                .thenComparing(LogPosition::log))
                .orElseThrow();
    }

    private long behind(Row row) {
        return row.effectiveVersion().log().equals(newest.log())
                ? Math.max(0, newest.version() - row.effectiveVersion().version())
                : ANOTHER_LOG;
    }

    /** The largest lag of all. */
    long maxLagVersions() {
        return rows.stream().mapToLong(this::behind).max().orElse(0);
    }

    void print(PrintWriter out) {
        out.printf(FORMAT, "name", "region", "process", "in force", "behind", "refused", "heard");
        for (Row row : rows) {
            long behind = behind(row);
            out.printf(
                    FORMAT,
                    row.name(),
                    row.region(),
                    row.process(),
                    row.effectiveVersion().version(),
                    behind == ANOTHER_LOG ? "other log" : behind,
                    row.refused() == 0 ? "-" : row.refused(),
                    row.heard());
        }
        long current = rows.stream().filter(row -> behind(row) == 0).count();
        out.printf(
                "log %s, version %d: %d of %d have it in force%n",
                newest.log(), newest.version(), current, rows.size());
    }
}
