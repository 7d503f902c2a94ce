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
import ottergauge.lab.scale.statistics.Observations;
import ottergauge.lab.scale.statistics.PhaseStatistics;
import ottergauge.lab.scale.statistics.PhaseStatistics.Verdict;
import ottergauge.lab.scale.statistics.Distribution;
import ottergauge.lab.scale.scenario.ScaleScenario;

/** What a scale test came to. A phase in which the rig was late has a verdict and no figures. */
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
     * Whether all nodes went by all that was changed in each phase, and the rig was in time to see
     * it.
     */
    public boolean reached() {
        return phases.stream().allMatch(each -> each.verdict() == Verdict.REACHED);
    }

    /** Prints it for people. */
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
                f.window().phase().compressed() > 1
                        ? String.format(
                                Locale.ROOT,
                                " (%.0f times as dense as what they stand for)",
                                f.window().phase().compressed())
                        : "",
                f.verdict());
        out.printf(
                Locale.ROOT,
                "  rig          %s late at %.2f%% of its looks, %d lines lost%n",
                f.latest().process().isEmpty() ? "nothing" : f.latest().process(),
                f.latest().part() * PERCENT,
                f.latest().lost());
        out.printf(
                Locale.ROOT,
                "  machine      %.1f cores busy, of which %.1f with this play%n",
                f.cores().getOrDefault(Observations.MACHINE, 0.0),
                playCores(f));
        if (f.verdict() == Verdict.RIG_LATE) {
            return;
        }
        spread(out, "in force", f.inForce());
        spread(out, "last node", f.atLastNode());
        spread(out, "real nodes", f.atRealNodes());
        spread(out, "from nothing", f.afterRestart());
        out.printf(
                Locale.ROOT,
                "  at the end   %d hollow nodes behind, %d with wrong servers, %d never saw"
                        + " a change%n",
                f.behind(),
                f.wrong(),
                f.missing());
        out.printf(
                Locale.ROOT,
                "  bytes        %.0f a second of a hollow node, at most %d of one in 10 s%n",
                f.bytesANode(),
                f.mostBytesIn10s());
        out.printf(
                Locale.ROOT,
                "  calls        %s, at most %d in 100 ms%n",
                counts(f.calls()),
                f.mostCallsIn100ms());
        out.printf(
                Locale.ROOT,
                "  discovery    %s, at most %d in 100 ms; %d whole lists of %.1f MB in all%n",
                counts(f.atDiscovery()),
                f.mostAtDiscoveryIn100ms(),
                f.wholeLists().lists(),
                f.wholeLists().bytes() / MB);
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
        if (!f.leftOut().isEmpty()) {
            out.printf("  left out     %s%n", counts(f.leftOut()));
        }
    }

    private static double seconds(PhaseStatistics f) {
        return (f.window().until() - f.window().from()) / S;
    }

    private static double playCores(PhaseStatistics f) {
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

    private static void spread(PrintWriter out, String name, Distribution spread) {
        if (spread.count() > 0) {
            out.printf(
                    Locale.ROOT,
                    "  %-12s median %.1f ms, 99th %.1f ms, most %.1f ms of %d%n",
                    name,
                    spread.median() / MS,
                    spread.p99() / MS,
                    spread.most() / MS,
                    spread.count());
        }
    }

    private static String counts(Map<String, Long> counts) {
        return counts.isEmpty()
                ? "none"
                : counts.entrySet().stream()
                        .map(each -> each.getKey() + " " + each.getValue())
                        .collect(Collectors.joining(", "));
    }

    /** The same for programs. */
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
                        .put("compressed", f.window().phase().compressed())
                        .put("changes", f.changes())
                        .put("latest", f.latest().process())
                        .put("late_part", f.latest().part())
                        .put("lost_lines", f.latest().lost())
                        .put("machine_cores", f.cores().getOrDefault(Observations.MACHINE, 0.0))
                        .put("play_cores", playCores(f));
        if (f.verdict() == Verdict.RIG_LATE) {
            return node;
        }
        node.set("in_force_us", json(f.inForce()));
        node.set("at_last_node_us", json(f.atLastNode()));
        node.set("at_real_nodes_us", json(f.atRealNodes()));
        node.set("after_restart_us", json(f.afterRestart()));
        node.put("missing", f.missing())
                .put("behind", f.behind())
                .put("wrong", f.wrong())
                .put("bytes_a_node_a_second", f.bytesANode())
                .put("most_bytes_in_10s", f.mostBytesIn10s())
                .put("most_calls_in_100ms", f.mostCallsIn100ms())
                .put("most_at_discovery_in_100ms", f.mostAtDiscoveryIn100ms())
                .put("whole_lists", f.wholeLists().lists())
                .put("whole_bytes", f.wholeLists().bytes())
                .put("hollow_node_cores", hollowCores(f) / scenario.nodes().hollow());
        f.calls().forEach(node.putObject("calls")::put);
        f.atDiscovery().forEach(node.putObject("at_discovery")::put);
        f.cores().forEach(node.putObject("cores")::put);
        f.residentBytes().forEach(node.putObject("resident_bytes")::put);
        f.heapBytes().forEach(node.putObject("heap_bytes")::put);
        f.linkBytes().forEach(node.putObject("link_bytes")::put);
        f.leftOut().forEach(node.putObject("left_out")::put);
        return node;
    }

    private static ObjectNode json(Distribution spread) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("count", spread.count())
                .put("median", spread.median())
                .put("p99", spread.p99())
                .put("most", spread.most());
    }
}
