// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.run;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import ottergauge.lab.discovery.Registry;
import ottergauge.lab.discovery.Registry.Health;
import ottergauge.lab.discovery.RegistryHost;
import ottergauge.lab.eventlog.EventLog;
import ottergauge.lab.net.LoopbackAddresses;
import ottergauge.lab.net.Link;
import ottergauge.lab.net.Links;
import ottergauge.lab.net.Loop;
import ottergauge.lab.node.NodeConfig;
import ottergauge.lab.scenario.Scenario;
import ottergauge.lab.scenario.Scenario.ServerKind;
import ottergauge.lab.server.Repeats;
import ottergauge.lab.server.ServerHost;

/** The servers of a play and discovery, which learns of them late. */
final class Servers {

    static final String REGISTRY = "registry";

    private final Loop loop;
    private final Scenario scenario;
    private final EventLog eventLog;
    private final List<ServerHost> servers = new ArrayList<>();
    private final List<ServerKind> kinds = new ArrayList<>();
    private final Registry registry = new Registry();
    private final RegistryHost discovery;
    private boolean ended;

    Servers(Loop loop, Scenario scenario, LoopbackAddresses addresses, Links links, EventLog eventLog)
            throws IOException {
        this.loop = loop;
        this.scenario = scenario;
        this.eventLog = eventLog;
        SplittableRandom random = new SplittableRandom(scenario.seed() + 3);
        Map<String, Repeats> groups = new HashMap<>();
        boolean byZone =
                scenario.classes().stream().anyMatch(type -> type.group() == Scenario.Group.ZONE);
        for (ServerKind kind : scenario.servers()) {
            for (int i = 0; i < kind.count(); i++) {
                int number = servers.size() + 1;
                String zone = scenario.zones().get((number - 1) % scenario.zones().size());
                servers.add(
                        new ServerHost(
                                loop,
                                scenario,
                                kind,
                                "s" + number,
                                zone,
                                groups.computeIfAbsent(
                                        byZone ? zone : "all", each -> new Repeats()),
                                eventLog,
                                random.split(),
                                System::currentTimeMillis));
                kinds.add(kind);
            }
        }
        discovery =
                new RegistryHost(
                        loop,
                        scenario,
                        registry,
                        eventLog,
                        (node, place) ->
                                LoopbackAddresses.text(
                                        addresses.server(
                                                node, Integer.parseInt(place.substring(1)))));
        servers.forEach(this::learn);
        for (int node = 1; node <= scenario.nodes().count(); node++) {
            String name = "n" + node;
            Link toRegistry = links.add(name, REGISTRY, 0, 0);
            discovery.listen(node, addresses.registry(node), toRegistry);
            for (int server = 1; server <= servers.size(); server++) {
                boolean same =
                        NodeConfig.zoneOf(scenario, node).equals(servers.get(server - 1).zone());
                Link link =
                        links.add(
                                name,
                                "s" + server,
                                same ? scenario.network().same() : scenario.network().cross(),
                                scenario.network().jitter());
                servers.get(server - 1).listen(node, addresses.server(node, server), link);
            }
        }
    }

    List<ServerHost> all() {
        return servers;
    }

    ServerHost server(int number) {
        return servers.get(number - 1);
    }

    RegistryHost discovery() {
        return discovery;
    }

    /** The list's lines as a node is told them now. */
    List<String> lines(int node) {
        return registry.whole().stream().map(line -> discovery.entry(node, line)).toList();
    }

    private void learn(ServerHost server) {
        tell(
                server.id(),
                server,
                server.draining() ? Health.TERMINATING : Health.IN_SERVICE,
                server.bornMs());
    }

    private void tell(String id, ServerHost server, Health health, long bornMs) {
        String kind = kinds.get(servers.indexOf(server)).name();
        if (!ended && registry.set(id, server.place(), server.zone(), kind, health, bornMs)) {
            discovery.changed();
        }
    }

    // Discovery hears of it after a while: of what is so now.
    private void later(String id, ServerHost server, Health health, long bornMs) {
        loop.after(scenario.registry().notice(), () -> tell(id, server, health, bornMs));
    }

    void kill(ServerHost server) {
        server.die();
        eventLog.addEvent(loop.now(), server.place(), "dies");
        later(server.id(), server, Health.TERMINATED, server.bornMs());
    }

    void vanish(ServerHost server) {
        server.vanish();
        eventLog.addEvent(loop.now(), server.place(), "vanishes");
        later(server.id(), server, Health.TERMINATED, server.bornMs());
    }

    void start(ServerHost server, boolean replaced) {
        server.start(replaced);
        eventLog.addEvent(loop.now(), server.place(), "starts cold as " + server.id());
        later(server.id(), server, Health.IN_SERVICE, server.bornMs());
    }

    void drain(ServerHost server) {
        server.drain();
        eventLog.addEvent(loop.now(), server.place(), "drains");
        tell(server.id(), server, Health.TERMINATING, server.bornMs());
    }

    /** A drained server's place is taken by another, cold, at the same address. */
    void replace(ServerHost server) {
        String old = server.id();
        long born = server.bornMs();
        server.die();
        later(old, server, Health.TERMINATED, born);
        start(server, true);
    }

    void end() {
        ended = true;
        servers.forEach(ServerHost::end);
        discovery.end();
    }
}
