// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.report;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;
import ottergauge.lab.eventlog.EventLog.Cost;
import ottergauge.lab.eventlog.RuleChecker;
import ottergauge.lab.eventlog.RuleChecker.Violation;
import ottergauge.lab.eventlog.RunStatistics;
import ottergauge.lab.eventlog.RunStatistics.IntervalStats;
import ottergauge.lab.eventlog.RunStatistics.Second;
import ottergauge.lab.run.ScenarioRun.RunResult;
import ottergauge.lab.scenario.Scenario;
import ottergauge.lab.scenario.Scenario.LoadStep;

/** The report of a run, as text and as JSON. */
public final class Report {

    /**
     * The verdict on a run. {@code RIG_LATE} means that the laboratory's own tasks ran late, so the
     * run has measured the laboratory instead of the nodes.
     */
    public enum Verdict {
        KEPT,
        BROKEN,
        RIG_LATE
    }

    // At most 1% of the laboratory's tasks may run later than this, in microseconds.
    private static final long MAX_LATE_P99 = 20_000;
    private static final int MAX_SHOWN_VIOLATIONS = 10;
    private static final double MS = 1_000;
    private static final double SECOND = 1e6;

    private final RunResult result;
    private final Scenario scenario;
    private final List<Violation> violations;
    private final RunStatistics statistics;

    /** Checks the rules on the recorded events and computes the statistics. */
    public Report(RunResult result) {
        this.result = result;
        scenario = result.scenario();
        violations = RuleChecker.check(scenario, result.eventLog(), scenario.length());
        statistics = new RunStatistics(scenario, result.eventLog());
    }

    /** Returns the verdict; {@code RIG_LATE} takes precedence over a broken rule. */
    public Verdict verdict() {
        return result.lateP99() > MAX_LATE_P99
                ? Verdict.RIG_LATE
                : violations.isEmpty() ? Verdict.KEPT : Verdict.BROKEN;
    }

    public List<Violation> violations() {
        return violations;
    }

    public RunStatistics statistics() {
        return statistics;
    }

    /**
     * The overload burst of a run: the statistics before and during it, and the time from its end
     * until service has recovered, in microseconds, or -1 if it never does. The component names are
     * field names of the report.
     */
    public record Burst(IntervalStats before, IntervalStats during, long backAfter) {
        /**
         * The worth earned during the burst, relative to what a scheduler with perfect knowledge
         * could earn.
         */
        public double ofIdeal() {
            return during.worth() / during.ideal();
        }
    }

    /**
     * Returns the burst of the scenario, the load step above the servers' capacity that is followed
     * by one below it; null if there is none.
     */
    public Burst burst() {
        List<LoadStep> steps = scenario.load();
        for (int i = 1; i + 1 < steps.size(); i++) {
            if (steps.get(i).rate() > 1 && steps.get(i + 1).rate() < 1) {
                long from = steps.get(i).from();
                long to = steps.get(i + 1).from();
                return new Burst(
                        statistics.interval(0, from),
                        statistics.interval(from, to),
                        statistics.backAfter(from, to, 3));
            }
        }
        return null;
    }

    /** Prints the report as text. */
    public void print(PrintWriter out) {
        out.printf(
                Locale.ROOT,
                "%s  seed %d  %d requests  verdict %s%n",
                scenario.name(),
                scenario.seed(),
                result.eventLog().requests.size(),
                verdict());
        out.printf(
                Locale.ROOT,
                "rig late p99 %.1f ms, most %.1f ms; cores: rig %.2f, nodes %.2f%n",
                result.lateP99() / MS,
                result.lateMax() / MS,
                result.rigCores(),
                result.nodeCores());
        out.println(
                "   from offered  worth  ideal refused failed tries  att. invert probes/s shakes/s"
                        + "  away");
        for (IntervalStats interval : statistics.steps()) {
            out.printf(
                    Locale.ROOT,
                    "%6.1fs %7d %6.3f %6.3f %7.3f %6.3f %5.2f %5.2f %6.3f %8.1f %8.2f %5.3f%n",
                    interval.from() / SECOND,
                    interval.requests(),
                    interval.worth(),
                    interval.ideal(),
                    interval.refused(),
                    interval.failed(),
                    interval.clientAttemptsPerRequest(),
                    interval.serverAttemptsPerRequest(),
                    interval.inverted(),
                    interval.probesPerServer(),
                    interval.handshakesPerServer(),
                    interval.turnedAway());
        }
        Burst burst = burst();
        if (burst != null) {
            out.printf(
                    Locale.ROOT,
                    "burst: %.3f of what a scheduler with perfect knowledge would serve; %s%n",
                    burst.ofIdeal(),
                    burst.backAfter() < 0
                            ? "service does not recover"
                            : String.format(
                                    Locale.ROOT,
                                    "service recovers %.1f s after its end",
                                    burst.backAfter() / SECOND));
        }
        for (Map.Entry<String, Histogram> each : statistics.latencies().entrySet()) {
            out.printf(
                    Locale.ROOT,
                    "%s: served %d, ms p50 %.0f p99 %.0f%n",
                    each.getKey(),
                    each.getValue().getTotalCount(),
                    each.getValue().getValueAtPercentile(50) / MS,
                    each.getValue().getValueAtPercentile(99) / MS);
        }
        out.println("attempts: " + statistics.attemptEnds());
        out.printf(
                "clients that closed their connections: %d; attempts for them afterwards: %d%n",
                result.eventLog().clientAttempts.values().stream()
                        .filter(each -> each.clientClosedAt >= 0)
                        .count(),
                RuleChecker.attemptsAfterClientClosed(result.eventLog()).size());
        out.printf(
                "worst 100 ms at one target: %d handshakes, %d probes, %d list calls%n",
                statistics.worst100Ms(Cost.HANDSHAKE),
                statistics.worst100Ms(Cost.PROBE),
                statistics.worst100Ms(Cost.LIST_CALL));
        if (!violations.isEmpty()) {
            Map<RuleChecker.Rule, Integer> counts = new LinkedHashMap<>();
            violations.forEach(each -> counts.merge(each.rule(), 1, Integer::sum));
            out.println("RULES BROKEN: " + counts);
            violations.stream()
                    .limit(MAX_SHOWN_VIOLATIONS)
                    .forEach(
                            each ->
                                    out.printf(
                                            Locale.ROOT,
                                            "  %.3f s %s %s%n",
                                            each.at() / SECOND,
                                            each.rule(),
                                            each.what()));
        }
        out.flush();
    }

    /** Prints the counts of each second as a table. */
    public void printSeconds(PrintWriter out) {
        out.println(" s offered in time late refused failed tries att. probes shakes lists away");
        for (Second s : statistics.seconds()) {
            out.printf(
                    "%2d %7d %7d %4d %7d %6d %5d %4d %6d %6d %5d %4d%n",
                    s.second(),
                    s.offered(),
                    s.inTime(),
                    s.late(),
                    s.refused(),
                    s.failed(),
                    s.clientAttempts(),
                    s.serverAttempts(),
                    s.probes(),
                    s.handshakes(),
                    s.listCalls(),
                    s.turnedAway());
        }
        out.flush();
    }

    /** Writes the report as JSON. */
    public void write(Path file) throws IOException {
        Map<String, Object> root = new LinkedHashMap<>();
        root.put("scenario", scenario.name());
        root.put("seed", scenario.seed());
        root.put("verdict", verdict());
        root.put("rig_late_p99_ms", result.lateP99() / MS);
        root.put("rig_cores", result.rigCores());
        root.put("node_cores", result.nodeCores());
        root.put("steps", statistics.steps());
        root.put("burst", burst());
        root.put("seconds", statistics.seconds());
        root.put("attempts", statistics.attemptEnds());
        root.put("second_runs_by_clients", RuleChecker.secondRuns(scenario, result.eventLog()));
        root.put("broken", new ArrayList<>(violations));
        root.put("happenings", result.eventLog().events);
        new ObjectMapper()
                .enable(SerializationFeature.INDENT_OUTPUT)
                .writeValue(file.toFile(), root);
    }
}
