// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import ottergauge.lab.scale.scenario.ScaleScenario.Discovery;
import ottergauge.lab.scale.scenario.ScaleScenario.Nodes;
import ottergauge.lab.scale.scenario.ScaleScenario.Phase;
import ottergauge.lab.scale.scenario.ScaleScenario.PhaseKind;
import ottergauge.lab.scale.scenario.ScaleScenario.State;
import ottergauge.lab.scenario.ScenarioException;
import ottergauge.lab.scenario.YamlMapping;
import ottergauge.lab.scenario.YamlMapping.Range;

/** Reads scale tests from YAML and checks them completely before anything is started. */
public final class ScaleScenarioReader {

    private static final int MAX_HOLLOW = 2_000;
    private static final int MAX_REAL = 16;
    private static final int MAX_PROCESSES = 64;
    private static final int MAX_REGIONS = 20;
    private static final int MAX_SERVERS = 20_000;
    private static final long S = 1_000_000;
    private static final long MAX_LENGTH = 3_600 * S;
    private static final double SECONDS_PER_DAY = 86_400;
    private static final int CHANGES_PER_SERVER = 3;

    private ScaleScenarioReader() {}

    /** Reads and checks a file. */
    public static ScaleScenario read(Path path) throws ScenarioException, IOException {
        return read(path.getFileName().toString(), Files.readString(path));
    }

    /** Reads and checks a scenario's text; {@code file} is its name in error messages. */
    public static ScaleScenario read(String file, String text) throws ScenarioException {
        YamlMapping root = YamlMapping.root(file, text);
        int regions = atMost(root, "regions", root.count("regions", 1), MAX_REGIONS);
        State state = state(root.child("state"));
        Nodes nodes = nodes(root.child("nodes"), regions);
        ScaleScenario scenario =
                new ScaleScenario(
                        root.text("name"),
                        root.wholeNumber("seed", 1),
                        nodes,
                        regions,
                        state,
                        discovery(root.childOrEmpty("discovery")),
                        root.span("settle", 30 * S),
                        phases(root, regions, nodes, state));
        root.rejectUnknownKeys();
        return scenario;
    }

    private static int atMost(YamlMapping entry, String key, int value, int maximum)
            throws ScenarioException {
        if (value > maximum) {
            throw entry.fault(key, "a whole number from 1 to " + maximum);
        }
        return value;
    }

    private static State state(YamlMapping e) throws ScenarioException {
        State state =
                new State(
                        atMost(e, "servers", e.count("servers"), MAX_SERVERS),
                        e.count("services", 1));
        e.rejectUnknownKeys();
        return state;
    }

    private static Nodes nodes(YamlMapping e, int regions) throws ScenarioException {
        int hollow = atMost(e, "hollow", e.count("hollow"), MAX_HOLLOW);
        int processes = atMost(e, "processes", e.count("processes", regions), MAX_PROCESSES);
        if (processes % regions != 0 || processes > hollow) {
            throw e.fault(
                    "processes",
                    "a multiple of the " + regions + " regions and at most one per node");
        }
        int real =
                (int)
                        e.number(
                                "real",
                                new Range(0, MAX_REAL, "a whole number from 0 to " + MAX_REAL),
                                0);
        Nodes nodes =
                new Nodes(
                        hollow,
                        processes,
                        e.count("loops", 1),
                        e.count("heap_mb", 512),
                        e.span("start_over", 5 * S),
                        real,
                        e.flag("know", false));
        e.rejectUnknownKeys();
        return nodes;
    }

    private static Discovery discovery(YamlMapping e) throws ScenarioException {
        Discovery discovery =
                new Discovery(
                        e.number("calls_per_s", Range.POSITIVE, 1_000),
                        e.span("patience", 2 * S),
                        e.count("heap_mb", 512));
        e.rejectUnknownKeys();
        return discovery;
    }

    private static List<Phase> phases(YamlMapping root, int regions, Nodes nodes, State state)
            throws ScenarioException {
        List<Phase> phases = new ArrayList<>();
        Set<String> names = new HashSet<>(Set.of("start"));
        long length = 0;
        for (YamlMapping e : root.children("phases")) {
            Phase phase = phase(e, regions, nodes, state);
            e.rejectUnknownKeys();
            if (!names.add(phase.name())) {
                throw e.fault("name", "a unique name; start is reserved");
            }
            length += phase.length();
            phases.add(phase);
        }
        if (phases.isEmpty() || length > MAX_LENGTH) {
            throw root.fault("phases", "a list of at least one phase, of at most an hour in total");
        }
        return phases;
    }

    private static Phase phase(YamlMapping e, int regions, Nodes nodes, State state)
            throws ScenarioException {
        PhaseKind kind = e.oneOf("what", PhaseKind.class, null);
        String name =
                e.text("name", kind.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-'));
        double compression = e.number("compressed", Range.POSITIVE, 1);
        double rate = rate(e, kind, compression, state);
        List<String> cutOffRegions =
                kind == PhaseKind.APART ? cutOffRegions(e, regions) : List.of();
        String process =
                kind == PhaseKind.KILL || kind == PhaseKind.STALL ? process(e, kind, nodes) : "";
        double lostFraction = kind == PhaseKind.ZONE_LOST ? e.number("part", Range.FRACTION) : 0;
        long downTime = kind == PhaseKind.KILL || kind == PhaseKind.STALL ? e.span("away") : 0;
        long length = e.span("for");
        if (downTime >= length) {
            throw e.fault("away", "a time shorter than the phase");
        }
        return new Phase(
                name,
                kind,
                length,
                rate,
                compression,
                lostFraction,
                cutOffRegions,
                process,
                downTime);
    }

    // Returns the changes per second. The file has this rate itself ("rate"), or the changes per
    // day in production ("a_day"), or the time that a release of all servers takes in production
    // ("within"). The last two are multiplied by {@code compression}, the number of times that the
    // test runs faster than production.
    private static double rate(YamlMapping e, PhaseKind kind, double compression, State state)
            throws ScenarioException {
        if (kind == PhaseKind.RELEASE) {
            return state.servers()
                    * (double) CHANGES_PER_SERVER
                    / (e.span("within") / (double) S)
                    * compression;
        }
        if (kind == PhaseKind.CHANGES || kind == PhaseKind.APART) {
            return e.has("a_day")
                    ? e.number("a_day", Range.POSITIVE) / SECONDS_PER_DAY * compression
                    : e.number("rate", Range.POSITIVE);
        }
        return 0;
    }

    private static List<String> cutOffRegions(YamlMapping e, int regions) throws ScenarioException {
        List<String> cutOffRegions = e.texts("regions");
        for (String each : cutOffRegions) {
            if (!each.matches("r[1-9][0-9]?") || Integer.parseInt(each.substring(1)) > regions) {
                throw e.fault("regions", "names from r1 to r" + regions);
            }
        }
        if (cutOffRegions.isEmpty()) {
            throw e.fault("regions", "names from r1 to r" + regions);
        }
        return cutOffRegions;
    }

    private static String process(YamlMapping e, PhaseKind kind, Nodes nodes)
            throws ScenarioException {
        String process = e.text("who", "discovery");
        boolean valid =
                "discovery".equals(process)
                        || (kind == PhaseKind.STALL
                                && process.matches("hollow-[1-9][0-9]?")
                                && Integer.parseInt(process.substring("hollow-".length()))
                                        <= nodes.processes());
        if (!valid) {
            throw e.fault(
                    "who",
                    kind == PhaseKind.KILL
                            ? "discovery"
                            : "discovery, or hollow-1 to hollow-" + nodes.processes());
        }
        return process;
    }
}
