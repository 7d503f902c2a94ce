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
import ottergauge.lab.scale.scenario.ScaleScenario.State;
import ottergauge.lab.scale.scenario.ScaleScenario.What;
import ottergauge.lab.scenario.ScenarioException;
import ottergauge.lab.scenario.YamlMapping;
import ottergauge.lab.scenario.YamlMapping.Range;

/** Reads scale tests from YAML and checks them whole before anything is started. */
public final class ScaleScenarioReader {

    private static final int MOST_HOLLOW = 2_000;
    private static final int MOST_REAL = 16;
    private static final int MOST_PROCESSES = 64;
    private static final int MOST_REGIONS = 20;
    private static final int MOST_SERVERS = 20_000;
    private static final long S = 1_000_000;
    private static final long MOST_LENGTH = 3_600 * S;
    private static final double SECONDS_A_DAY = 86_400;
    private static final int CHANGES_A_SERVER = 3;

    private ScaleScenarioReader() {}

    /** Reads and checks a file. */
    public static ScaleScenario read(Path path) throws ScenarioException, IOException {
        return read(path.getFileName().toString(), Files.readString(path));
    }

    /** Reads and checks a scenario's text; {@code file} is what messages call it. */
    public static ScaleScenario read(String file, String text) throws ScenarioException {
        YamlMapping root = YamlMapping.root(file, text);
        int regions = atMost(root, "regions", root.count("regions", 1), MOST_REGIONS);
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

    private static int atMost(YamlMapping entry, String key, int value, int most)
            throws ScenarioException {
        if (value > most) {
            throw entry.fault(key, "a whole number from 1 to " + most);
        }
        return value;
    }

    private static State state(YamlMapping e) throws ScenarioException {
        State state =
                new State(
                        atMost(e, "servers", e.count("servers"), MOST_SERVERS),
                        e.count("services", 1));
        e.rejectUnknownKeys();
        return state;
    }

    private static Nodes nodes(YamlMapping e, int regions) throws ScenarioException {
        int hollow = atMost(e, "hollow", e.count("hollow"), MOST_HOLLOW);
        int processes = atMost(e, "processes", e.count("processes", regions), MOST_PROCESSES);
        if (processes % regions != 0 || processes > hollow) {
            throw e.fault(
                    "processes",
                    "a multiple of the " + regions + " regions and at most one a node");
        }
        int real =
                (int)
                        e.number(
                                "real",
                                new Range(0, MOST_REAL, "a whole number from 0 to " + MOST_REAL),
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
                throw e.fault("name", "a name of its own; start is the rig's");
            }
            length += phase.length();
            phases.add(phase);
        }
        if (phases.isEmpty() || length > MOST_LENGTH) {
            throw root.fault(
                    "phases", "a list of at least one phase, of an hour in all at the most");
        }
        return phases;
    }

    private static Phase phase(YamlMapping e, int regions, Nodes nodes, State state)
            throws ScenarioException {
        What what = e.oneOf("what", What.class, null);
        String name =
                e.text("name", what.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-'));
        double compressed = e.number("compressed", Range.POSITIVE, 1);
        double rate = rate(e, what, compressed, state);
        List<String> apart = what == What.APART ? apart(e, regions) : List.of();
        String who = what == What.KILL || what == What.STALL ? who(e, what, nodes) : "";
        double part = what == What.ZONE_LOST ? e.number("part", Range.FRACTION) : 0;
        long away = what == What.KILL || what == What.STALL ? e.span("away") : 0;
        long length = e.span("for");
        if (away >= length) {
            throw e.fault("away", "a time shorter than the phase");
        }
        return new Phase(name, what, length, rate, compressed, part, apart, who, away);
    }

    // Either as such, or as what it is on a day or in a release, and how many times denser it is
    // played.
    private static double rate(YamlMapping e, What what, double compressed, State state)
            throws ScenarioException {
        if (what == What.RELEASE) {
            return state.servers()
                    * (double) CHANGES_A_SERVER
                    / (e.span("within") / (double) S)
                    * compressed;
        }
        if (what == What.CHANGES || what == What.APART) {
            return e.has("a_day")
                    ? e.number("a_day", Range.POSITIVE) / SECONDS_A_DAY * compressed
                    : e.number("rate", Range.POSITIVE);
        }
        return 0;
    }

    private static List<String> apart(YamlMapping e, int regions) throws ScenarioException {
        List<String> apart = e.texts("regions");
        for (String each : apart) {
            if (!each.matches("r[1-9][0-9]?") || Integer.parseInt(each.substring(1)) > regions) {
                throw e.fault("regions", "names from r1 to r" + regions);
            }
        }
        if (apart.isEmpty()) {
            throw e.fault("regions", "names from r1 to r" + regions);
        }
        return apart;
    }

    private static String who(YamlMapping e, What what, Nodes nodes) throws ScenarioException {
        String who = e.text("who", "discovery");
        boolean known =
                "discovery".equals(who)
                        || (what == What.STALL
                                && who.matches("hollow-[1-9][0-9]?")
                                && Integer.parseInt(who.substring("hollow-".length()))
                                        <= nodes.processes());
        if (!known) {
            throw e.fault(
                    "who",
                    what == What.KILL
                            ? "discovery"
                            : "discovery, or hollow-1 to hollow-" + nodes.processes());
        }
        return who;
    }
}
