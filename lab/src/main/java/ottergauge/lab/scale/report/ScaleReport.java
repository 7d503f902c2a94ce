// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.report;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import ottergauge.lab.scale.scenario.ScaleScenario;
import ottergauge.lab.scale.statistics.Distribution;
import ottergauge.lab.scale.statistics.Observations;
import ottergauge.lab.scale.statistics.PhaseStatistics;
import ottergauge.lab.scale.statistics.PhaseStatistics.Verdict;

/**
 * The report of a scale test. A phase in which the laboratory ran late has a verdict but no
 * statistics of the nodes.
 */
public final class ScaleReport {

    private static final double MS = 1_000;
    private static final double S = 1e6;
    private static final double MB = 1 << 20;
    private static final double PERCENT = 100;

    private final ScaleScenario scenario;
    private final List<PhaseStatistics> phases;

    public ScaleReport(ScaleScenario scenario, List<PhaseStatistics> phases) {
        this.scenario = scenario;
        this.phases = phases;
    }

    /**
     * Returns whether in each phase all changes took effect on all nodes, and the laboratory ran on
     * time.
     */
    public boolean reached() {
        return phases.stream().allMatch(each -> each.verdict() == Verdict.REACHED);
    }

    /** Prints the report as text. */
    public void print(PrintWriter out) {
        ScaleScenario.Nodes nodes = scenario.nodes();
        out.printf(
                Locale.ROOT,
                "%s, seed %d: %d hollow nodes in %d processes, %d real, %d regions, "
                        + "%d servers%n",
                scenario.name(),
                scenario.seed(),
                nodes.hollow(),
                nodes.processes(),
                nodes.real(),
                scenario.regions(),
                scenario.state().servers());
        phases.forEach(each -> print(out, each));
        out.flush();
    }

    private void print(PrintWriter out, PhaseStatistics f) {
        out.printf(
                Locale.ROOT,
                "%n%s: %.1f s, %d changes%s: %s%n",
                f.window().phase().name(),
                seconds(f),
                f.changes(),
                f.window().phase().compression() > 1
                        ? String.format(
                                Locale.ROOT,
                                " (at %.0f times the real rate)",
                                f.window().phase().compression())
                        : "",
                f.verdict());
        out.printf(
                Locale.ROOT,
                "  rig          %s late in %.2f%% of its samples, %d lines lost%n",
                f.rigLateness().process().isEmpty() ? "nothing" : f.rigLateness().process(),
                f.rigLateness().lateFraction() * PERCENT,
                f.rigLateness().lostLines());
        out.printf(
                Locale.ROOT,
                "  machine      %.1f cores busy, of which %.1f with this test%n",
                f.cores().getOrDefault(Observations.MACHINE, 0.0),
                testCores(f));
        if (f.verdict() == Verdict.RIG_LATE) {
            return;
        }
        printDistribution(out, "in force", f.propagation());
        printDistribution(out, "last node", f.propagationToLastNode());
        printDistribution(out, "real nodes", f.propagationToRealNodes());
        printDistribution(out, "from nothing", f.propagationAfterRestart());
        out.printf(
                Locale.ROOT,
                "  at the end   %d hollow nodes behind, %d with wrong servers, %d never saw"
                        + " a change%n",
                f.nodesBehind(),
                f.nodesWithWrongServers(),
                f.missingChanges());
        out.printf(
                Locale.ROOT,
                "  bytes        %.0f a second of a hollow node, at most %d of one in 10 s%n",
                f.bytesPerNodePerSecond(),
                f.maxBytesIn10s());
        out.printf(
                Locale.ROOT,
                "  calls        %s, at most %d in 100 ms%n",
                counts(f.calls()),
                f.maxCallsIn100ms());
        out.printf(
                Locale.ROOT,
                "  discovery    %s, at most %d in 100 ms; %d whole lists of %.1f MB in all%n",
                counts(f.discoveryCalls()),
                f.maxDiscoveryCallsIn100ms(),
                f.fullLists().lists(),
                f.fullLists().bytes() / MB);
        out.printf(
                Locale.ROOT,
                "  cores        %s; a hollow node %.4f%n",
                f.cores().entrySet().stream()
                        .map(
                                each ->
                                        String.format(
                                                Locale.ROOT,
                                                "%s %.3f",
                                                each.getKey(),
                                                each.getValue()))
                        .collect(Collectors.joining(", ")),
                hollowCores(f) / scenario.nodes().hollow());
        out.printf(
                Locale.ROOT,
                "  memory, MB   %s%n",
                f.residentBytes().entrySet().stream()
                        .map(
                                each ->
                                        String.format(
                                                Locale.ROOT,
                                                "%s %.0f",
                                                each.getKey(),
                                                each.getValue() / MB))
                        .collect(Collectors.joining(", ")));
        if (!f.omittedEffects().isEmpty()) {
            out.printf("  left out     %s%n", counts(f.omittedEffects()));
        }
    }

    private static double seconds(PhaseStatistics f) {
        return (f.window().until() - f.window().from()) / S;
    }

    private static double testCores(PhaseStatistics f) {
        return f.cores().entrySet().stream()
                .filter(each -> !each.getKey().equals(Observations.MACHINE))
                .mapToDouble(Map.Entry::getValue)
                .sum();
    }

    private static double hollowCores(PhaseStatistics f) {
        return f.cores().entrySet().stream()
                .filter(each -> each.getKey().startsWith("hollow-"))
                .mapToDouble(Map.Entry::getValue)
                .sum();
    }

    private static void printDistribution(PrintWriter out, String name, Distribution distribution) {
        if (distribution.count() > 0) {
            out.printf(
                    Locale.ROOT,
                    "  %-12s median %.1f ms, 99th %.1f ms, most %.1f ms of %d%n",
                    name,
                    distribution.median() / MS,
                    distribution.p99() / MS,
                    distribution.maximum() / MS,
                    distribution.count());
        }
    }

    private static String counts(Map<String, Long> counts) {
        return counts.isEmpty()
                ? "none"
                : counts.entrySet().stream()
                        .map(each -> each.getKey() + " " + each.getValue())
                        .collect(Collectors.joining(", "));
    }

    /** Returns the report as JSON. */
    public String json() throws IOException {
        ObjectNode root =
                JsonNodeFactory.instance
                        .objectNode()
                        .put("scenario", scenario.name())
                        .put("seed", scenario.seed())
                        .put("hollow", scenario.nodes().hollow())
                        .put("real", scenario.nodes().real())
                        .put("regions", scenario.regions())
                        .put("servers", scenario.state().servers())
                        .put("services", scenario.state().services());
        ArrayNode array = root.putArray("phases");
        phases.forEach(each -> array.add(json(each)));
        return new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(root);
    }

    private ObjectNode json(PhaseStatistics f) {
        ObjectNode node =
                JsonNodeFactory.instance
                        .objectNode()
                        .put("name", f.window().phase().name())
                        .put("verdict", f.verdict().name())
                        .put("seconds", seconds(f))
                        .put("compressed", f.window().phase().compression())
                        .put("changes", f.changes())
                        .put("latest", f.rigLateness().process())
                        .put("late_part", f.rigLateness().lateFraction())
                        .put("lost_lines", f.rigLateness().lostLines())
                        .put("machine_cores", f.cores().getOrDefault(Observations.MACHINE, 0.0))
                        .put("play_cores", testCores(f));
        if (f.verdict() == Verdict.RIG_LATE) {
            return node;
        }
        node.set("in_force_us", json(f.propagation()));
        node.set("at_last_node_us", json(f.propagationToLastNode()));
        node.set("at_real_nodes_us", json(f.propagationToRealNodes()));
        node.set("after_restart_us", json(f.propagationAfterRestart()));
        node.put("missing", f.missingChanges())
                .put("behind", f.nodesBehind())
                .put("wrong", f.nodesWithWrongServers())
                .put("bytes_a_node_a_second", f.bytesPerNodePerSecond())
                .put("most_bytes_in_10s", f.maxBytesIn10s())
                .put("most_calls_in_100ms", f.maxCallsIn100ms())
                .put("most_at_discovery_in_100ms", f.maxDiscoveryCallsIn100ms())
                .put("whole_lists", f.fullLists().lists())
                .put("whole_bytes", f.fullLists().bytes())
                .put("hollow_node_cores", hollowCores(f) / scenario.nodes().hollow());
        f.calls().forEach(node.putObject("calls")::put);
        f.discoveryCalls().forEach(node.putObject("at_discovery")::put);
        f.cores().forEach(node.putObject("cores")::put);
        f.residentBytes().forEach(node.putObject("resident_bytes")::put);
        f.heapBytes().forEach(node.putObject("heap_bytes")::put);
        f.linkBytes().forEach(node.putObject("link_bytes")::put);
        f.omittedEffects().forEach(node.putObject("left_out")::put);
        return node;
    }

    private static ObjectNode json(Distribution distribution) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("count", distribution.count())
                .put("median", distribution.median())
                .put("p99", distribution.p99())
                .put("most", distribution.maximum());
    }
}
