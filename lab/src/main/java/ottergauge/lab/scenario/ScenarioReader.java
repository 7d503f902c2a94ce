// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import ottergauge.lab.scenario.Scenario.Clients;
import ottergauge.lab.scenario.Scenario.Direction;
import ottergauge.lab.scenario.Scenario.Effect;
import ottergauge.lab.scenario.Scenario.Fault;
import ottergauge.lab.scenario.Scenario.FaultKind;
import ottergauge.lab.scenario.Scenario.Group;
import ottergauge.lab.scenario.Scenario.LoadStep;
import ottergauge.lab.scenario.Scenario.Network;
import ottergauge.lab.scenario.Scenario.Nodes;
import ottergauge.lab.scenario.Scenario.Platform;
import ottergauge.lab.scenario.Scenario.Registry;
import ottergauge.lab.scenario.Scenario.RequestClass;
import ottergauge.lab.scenario.Scenario.ServerKind;
import ottergauge.lab.scenario.Scenario.Tenant;
import ottergauge.lab.scenario.YamlMapping.Range;

/** Reads scenarios from YAML and checks them completely before anything is started. */
public final class ScenarioReader {

    // A loopback address has one byte for the number of a node and one for the number of a server,
    // which limits both numbers.
    private static final int MAX_NODES = 99;
    private static final int MAX_SERVERS = 199;
    private static final long MS = 1_000;
    private static final long S = 1_000_000;

    private final String file;

    private ScenarioReader(String file) {
        this.file = file;
    }

    public static Scenario read(Path path) throws ScenarioException, IOException {
        return read(path.getFileName().toString(), Files.readString(path));
    }

    /** Parses a scenario's text; {@code file} is its name in error messages. */
    public static Scenario read(String file, String text) throws ScenarioException {
        return new ScenarioReader(file).scenario(YamlMapping.root(file, text));
    }

    private Scenario scenario(YamlMapping root) throws ScenarioException {
        List<String> zones = root.texts("zones");
        if (zones.isEmpty()) {
            zones = List.of("a");
        }
        long length = root.span("length");
        Scenario scenario =
                new Scenario(
                        root.text("name"),
                        root.wholeNumber("seed", 1),
                        length,
                        zones,
                        nodes(root.child("nodes")),
                        servers(root),
                        classes(root),
                        tenants(root),
                        clients(root.childOrEmpty("clients")),
                        load(root, length),
                        network(root.childOrEmpty("network")),
                        registry(root.childOrEmpty("registry")),
                        platform(root.childOrEmpty("platform")),
                        faults(root, length));
        root.rejectUnknownKeys();
        checkTargets(scenario);
        return scenario;
    }

    private Nodes nodes(YamlMapping e) throws ScenarioException {
        Nodes nodes =
                new Nodes(
                        e.count("count"),
                        e.count("memory_mb", 192),
                        e.count("sockets", 1024),
                        e.number(
                                "cores",
                                new Range(0.05, 1, "a fraction of a core from 0.05 to 1"),
                                1),
                        e.number("busiest", Range.POSITIVE, 1),
                        e.flag("talk", false));
        if (nodes.count() > MAX_NODES) {
            throw e.fault("count", "at most " + MAX_NODES + " nodes");
        }
        e.rejectUnknownKeys();
        return nodes;
    }

    private List<ServerKind> servers(YamlMapping root) throws ScenarioException {
        List<ServerKind> kinds = new ArrayList<>();
        int servers = 0;
        for (YamlMapping e : root.children("servers")) {
            int cores = e.count("cores", 1);
            kinds.add(
                    new ServerKind(
                            e.text("kind", "std"),
                            e.count("count"),
                            cores,
                            e.number("speed", Range.POSITIVE, 1),
                            e.number("spread", Range.FRACTION, 0),
                            e.count("slots", cores),
                            (int) e.number("queue", Range.ANY, 8.0 * cores),
                            e.span("early_full", 0),
                            e.number("cold_from", Range.FRACTION, 0.3),
                            e.span("cold_for", 6 * S),
                            e.count("connections", 600),
                            e.span("handshake", 100),
                            e.span("probe", 40),
                            e.number("errors", Range.FRACTION, 0),
                            e.flag("reports", true)));
            e.rejectUnknownKeys();
            servers += kinds.get(kinds.size() - 1).count();
            if (servers > MAX_SERVERS) {
                throw e.fault("count", "at most " + MAX_SERVERS + " servers in all");
            }
        }
        if (kinds.isEmpty()) {
            throw root.fault("servers", "a list of at least one kind");
        }
        return kinds;
    }

    private List<RequestClass> classes(YamlMapping root) throws ScenarioException {
        List<RequestClass> classes = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (YamlMapping e : root.children("classes")) {
            Effect effect = e.oneOf("effect", Effect.class, Effect.SAFE);
            RequestClass type =
                    new RequestClass(
                            e.text("name"),
                            e.number("share", Range.POSITIVE, 1),
                            e.span("work"),
                            e.number("spread", new Range(0, 3, "a number from 0 to 3"), 0.5),
                            e.span("waits", 0),
                            e.span("aim"),
                            e.span("deadline"),
                            e.number("worth", Range.POSITIVE, 1),
                            e.number("late_worth", Range.FRACTION, 0),
                            effect,
                            e.oneOf("group", Group.class, Group.ALL),
                            effect == Effect.KEYED ? e.span("window") : e.span("window", 0),
                            e.count("keys", 1000));
            e.rejectUnknownKeys();
            if (type.deadline() < type.latencyObjective()) {
                throw e.fault("deadline", "a time not before the aim");
            }
            if (!names.add(type.name())) {
                throw e.fault("name", "a unique name");
            }
            classes.add(type);
        }
        if (classes.isEmpty()) {
            throw root.fault("classes", "a list of at least one class");
        }
        return classes;
    }

    private List<Tenant> tenants(YamlMapping root) throws ScenarioException {
        List<Tenant> tenants = new ArrayList<>();
        for (YamlMapping e : root.children("tenants")) {
            double trafficShare = e.number("traffic", Range.POSITIVE);
            tenants.add(
                    new Tenant(
                            e.text("name"),
                            trafficShare,
                            e.number("portion", Range.POSITIVE, trafficShare)));
            e.rejectUnknownKeys();
        }
        return tenants;
    }

    private Clients clients(YamlMapping e) throws ScenarioException {
        Clients clients =
                new Clients(
                        (int) e.number("repeats", Range.ANY, 0),
                        e.span("pause", 50 * MS),
                        e.number("obey", Range.FRACTION, 0.3),
                        e.number("try_part", Range.FRACTION, 0.55),
                        e.flag("marks_retry", false),
                        e.span("notice", 2 * S),
                        e.number("leave", Range.FRACTION, 0));
        e.rejectUnknownKeys();
        return clients;
    }

    private List<LoadStep> load(YamlMapping root, long length) throws ScenarioException {
        List<LoadStep> steps = new ArrayList<>();
        for (YamlMapping e : root.children("load")) {
            LoadStep step = new LoadStep(e.span("from", 0), e.number("rate", Range.ANY));
            e.rejectUnknownKeys();
            if (step.from() >= length
                    || (!steps.isEmpty() && step.from() <= steps.get(steps.size() - 1).from())) {
                throw e.fault(
                        "from", "a time after the previous step and before the end of the run");
            }
            steps.add(step);
        }
        if (steps.isEmpty() || steps.get(0).from() != 0) {
            throw root.fault("load", "a list of steps, the first from 0s");
        }
        return steps;
    }

    private Network network(YamlMapping e) throws ScenarioException {
        Network network = new Network(e.span("same", 0), e.span("cross", 0), e.span("jitter", 0));
        e.rejectUnknownKeys();
        return network;
    }

    private Registry registry(YamlMapping e) throws ScenarioException {
        Registry registry =
                new Registry(
                        e.span("notice", S),
                        e.number("calls_per_s", Range.POSITIVE, 1000),
                        e.span("patience", 2 * S),
                        e.span("ask_within", 10 * S));
        e.rejectUnknownKeys();
        return registry;
    }

    private Platform platform(YamlMapping e) throws ScenarioException {
        Platform platform =
                new Platform(
                        e.flag("probes", true),
                        e.flag("cancel", true),
                        e.flag("retry_after", true),
                        e.span("most_retry_after", 600 * MS),
                        e.count("most_attempts", 5),
                        e.flag("reports", true),
                        e.number("probe_price", Range.FRACTION, 0.002),
                        e.span("drain_grace", 250 * MS),
                        e.number("tip_multiple", Range.POSITIVE, 3),
                        e.span("fall_after", S),
                        e.span("connection_idle", 60 * S),
                        e.span("connect_timeout", 200 * MS),
                        e.span("answer_slack", 5 * MS));
        e.rejectUnknownKeys();
        return platform;
    }

    private List<Fault> faults(YamlMapping root, long length) throws ScenarioException {
        List<Fault> faults = new ArrayList<>();
        for (YamlMapping e : root.children("faults")) {
            FaultKind faultKind = e.oneOf("what", FaultKind.class, null);
            long at = e.span("at");
            if (at >= length) {
                throw e.fault("at", "a time before the end of the run");
            }
            List<String> targets = e.texts("who");
            double fraction =
                    targets.isEmpty() && !faultKind.name().startsWith("REGISTRY")
                            ? e.number("part", Range.FRACTION)
                            : e.number("part", Range.FRACTION, 0);
            faults.add(
                    new Fault(
                            at,
                            e.span("for", 0),
                            faultKind,
                            targets,
                            fraction,
                            e.texts("to"),
                            e.oneOf("way", Direction.class, Direction.BOTH),
                            e.number("amount", Range.ANY, defaultAmount(faultKind)),
                            e.span("span", 0),
                            e.span("jitter", 0),
                            faults.size() + 1));
            e.rejectUnknownKeys();
        }
        return faults;
    }

    private static double defaultAmount(FaultKind faultKind) {
        return switch (faultKind) {
            case SERVER_SLOW -> 4;
            case LINK_RATE -> 64_000;
            case LINK_CUT -> 200;
            default -> 1;
        };
    }

    private void checkTargets(Scenario scenario) throws ScenarioException {
        for (Fault fault : scenario.faults()) {
            for (List<String> names : List.of(fault.targets(), fault.peers())) {
                for (String name : names) {
                    if (!isKnown(scenario, name)) {
                        throw new ScenarioException(
                                file
                                        + ": faults: "
                                        + fault.index()
                                        + ": "
                                        + name
                                        + ": no process of this scenario; allowed are n1 to n"
                                        + scenario.nodes().count()
                                        + ", s1 to s"
                                        + servers(scenario)
                                        + ", nodes, servers, registry, clients and zone NAME's"
                                        + " servers as zone-NAME");
                    }
                }
            }
            boolean isLink = fault.faultKind().name().startsWith("LINK");
            if (isLink && (fault.targets().isEmpty() || fault.peers().isEmpty())) {
                throw new ScenarioException(
                        file
                                + ": faults: "
                                + fault.index()
                                + ": who, to: a link has two sides; both must be named");
            }
        }
    }

    private static int servers(Scenario scenario) {
        return scenario.servers().stream().mapToInt(ServerKind::count).sum();
    }

    private static boolean isKnown(Scenario scenario, String name) {
        if (Set.of("nodes", "servers", "registry", "clients").contains(name)) {
            return true;
        }
        if (name.startsWith("zone-")) {
            return scenario.zones().contains(name.substring("zone-".length()));
        }
        int max =
                name.startsWith("n")
                        ? scenario.nodes().count()
                        : name.startsWith("s") ? servers(scenario) : 0;
        try {
            int number = Integer.parseInt(name.substring(1));
            return number >= 1 && number <= max;
        } catch (NumberFormatException | StringIndexOutOfBoundsException e) {
            return false;
        }
    }
}
