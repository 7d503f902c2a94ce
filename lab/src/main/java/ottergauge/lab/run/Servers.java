// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.run;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import ottergauge.lab.discovery.DiscoveryStandIn;
import ottergauge.lab.discovery.ServiceRegistry;
import ottergauge.lab.discovery.ServiceRegistry.Health;
import ottergauge.lab.eventlog.EventLog;
import ottergauge.lab.net.Link;
import ottergauge.lab.net.Links;
import ottergauge.lab.net.Loop;
import ottergauge.lab.net.LoopbackAddresses;
import ottergauge.lab.node.NodeConfig;
import ottergauge.lab.scenario.Scenario;
import ottergauge.lab.scenario.Scenario.ServerKind;
import ottergauge.lab.server.DeduplicationCache;
import ottergauge.lab.server.ServerStandIn;

/**
 * The server stand-ins of a run, and the stand-in for discovery. Discovery learns at once that a
 * server drains, and of all other changes after the scenario's notice delay.
 */
final class Servers {

    static final String REGISTRY = "registry";

    private final Loop loop;
    private final Scenario scenario;
    private final EventLog eventLog;
    private final List<ServerStandIn> servers = new ArrayList<>();
    private final List<ServerKind> kinds = new ArrayList<>();
    private final ServiceRegistry registry = new ServiceRegistry();
    private final DiscoveryStandIn discovery;
    private boolean ended;

    Servers(
            Loop loop,
            Scenario scenario,
            LoopbackAddresses addresses,
            Links links,
            EventLog eventLog)
            throws IOException {
        this.loop = loop;
        this.scenario = scenario;
        this.eventLog = eventLog;
        SplittableRandom random = new SplittableRandom(scenario.seed() + 3);
        Map<String, DeduplicationCache> groups = new HashMap<>();
        boolean byZone =
                scenario.classes().stream().anyMatch(type -> type.group() == Scenario.Group.ZONE);
        for (ServerKind kind : scenario.servers()) {
            for (int i = 0; i < kind.count(); i++) {
                int number = servers.size() + 1;
                String zone = scenario.zones().get((number - 1) % scenario.zones().size());
                servers.add(
                        new ServerStandIn(
                                loop,
                                scenario,
                                kind,
                                "s" + number,
                                zone,
                                groups.computeIfAbsent(
                                        byZone ? zone : "all", each -> new DeduplicationCache()),
                                eventLog,
                                random.split(),
                                System::currentTimeMillis));
                kinds.add(kind);
            }
        }
        discovery =
                new DiscoveryStandIn(
                        loop,
                        scenario,
                        registry,
                        eventLog,
                        (node, serverName) ->
                                LoopbackAddresses.text(
                                        addresses.server(
                                                node, Integer.parseInt(serverName.substring(1)))));
        servers.forEach(this::publish);
        for (int node = 1; node <= scenario.nodes().count(); node++) {
            String name = "n" + node;
            Link toRegistry = links.add(name, REGISTRY, 0, 0);
            discovery.listen(node, addresses.registry(node), toRegistry);
            for (int server = 1; server <= servers.size(); server++) {
                boolean sameZone =
                        NodeConfig.zoneOf(scenario, node).equals(servers.get(server - 1).zone());
                Link link =
                        links.add(
                                name,
                                "s" + server,
                                sameZone
                                        ? scenario.network().sameZone()
                                        : scenario.network().crossZone(),
                                scenario.network().jitter());
                servers.get(server - 1).listen(node, addresses.server(node, server), link);
            }
        }
    }

    List<ServerStandIn> all() {
        return servers;
    }

    ServerStandIn server(int number) {
        return servers.get(number - 1);
    }

    DiscoveryStandIn discovery() {
        return discovery;
    }

    /**
     * Returns the entries of discovery's current list, as discovery would send them to this node.
     */
    List<String> instanceList(int node) {
        return registry.fullList().stream()
                .map(instance -> discovery.instanceJson(node, instance))
                .toList();
    }

    private void publish(ServerStandIn server) {
        updateRegistry(
                server.id(),
                server,
                server.draining() ? Health.TERMINATING : Health.IN_SERVICE,
                server.startedAtMs());
    }

    private void updateRegistry(String id, ServerStandIn server, Health health, long startedAtMs) {
        String kind = kinds.get(servers.indexOf(server)).name();
        if (!ended
                && registry.update(
                        id, server.serverName(), server.zone(), kind, health, startedAtMs)) {
            discovery.listChanged();
        }
    }

    // Changes discovery's list after the scenario's notice delay, using the state at the time of
    // this call.
    private void updateLater(String id, ServerStandIn server, Health health, long startedAtMs) {
        loop.after(
                scenario.registry().noticeDelay(),
                () -> updateRegistry(id, server, health, startedAtMs));
    }

    void kill(ServerStandIn server) {
        server.crash();
        eventLog.addEvent(loop.now(), server.serverName(), "dies");
        updateLater(server.id(), server, Health.TERMINATED, server.startedAtMs());
    }

    void vanish(ServerStandIn server) {
        server.vanish();
        eventLog.addEvent(loop.now(), server.serverName(), "vanishes");
        updateLater(server.id(), server, Health.TERMINATED, server.startedAtMs());
    }

    void start(ServerStandIn server, boolean replaced) {
        server.start(replaced);
        eventLog.addEvent(loop.now(), server.serverName(), "starts cold as " + server.id());
        updateLater(server.id(), server, Health.IN_SERVICE, server.startedAtMs());
    }

    void drain(ServerStandIn server) {
        server.drain();
        eventLog.addEvent(loop.now(), server.serverName(), "drains");
        updateRegistry(server.id(), server, Health.TERMINATING, server.startedAtMs());
    }

    /** Replaces a drained server with a new, cold one at the same address. */
    void replace(ServerStandIn server) {
        String oldId = server.id();
        long previousStartMs = server.startedAtMs();
        server.crash();
        updateLater(oldId, server, Health.TERMINATED, previousStartMs);
        start(server, true);
    }

    void end() {
        ended = true;
        servers.forEach(ServerStandIn::end);
        discovery.end();
    }
}
