// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.run;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import ottergauge.lab.eventlog.EventLog;
import ottergauge.lab.net.Link;
import ottergauge.lab.net.Links;
import ottergauge.lab.net.Loop;
import ottergauge.lab.scenario.Scenario;
import ottergauge.lab.scenario.Scenario.Fault;
import ottergauge.lab.server.ServerStandIn;

/**
 * Starts and ends each fault of a run at its time; targets that the scenario does not name are
 * chosen at random from the seed.
 */
final class FaultSchedule {

    private static final int NORMAL_SPEED = 1;

    private final Loop loop;
    private final Scenario scenario;
    private final Fleet fleet;
    private final Servers servers;
    private final Links links;
    private final EventLog eventLog;

    FaultSchedule(
            Loop loop,
            Scenario scenario,
            Fleet fleet,
            Servers servers,
            Links links,
            EventLog eventLog) {
        this.loop = loop;
        this.scenario = scenario;
        this.fleet = fleet;
        this.servers = servers;
        this.links = links;
        this.eventLog = eventLog;
    }

    void begin() {
        for (Fault fault : scenario.faults()) {
            loop.at(fault.at(), () -> begin(fault));
        }
    }

    private void begin(Fault fault) {
        eventLog.addEvent(
                loop.now(),
                "fault " + fault.index(),
                fault.faultKind()
                        + " begins for "
                        + (fault.targets().isEmpty()
                                ? fault.fraction() + " of them"
                                : String.join(", ", fault.targets())));
        switch (fault.faultKind()) {
            case NODE_KILL -> nodes(fault, node -> fleet.kill(node, fault.duration()), null);
            case NODE_TERM -> nodes(fault, node -> fleet.terminate(node, fault.duration()), null);
            case NODE_HUP -> nodes(fault, fleet::reload, null);
            case NODE_STALL -> nodes(fault, fleet::stall, fleet::resume);
            case NODE_CORES ->
                    nodes(
                            fault,
                            node -> fleet.cores(node, fault.amount()),
                            node -> fleet.cores(node, scenario.nodes().cores()));
            case SERVER_STALL -> servers(fault, ServerStandIn::stall, ServerStandIn::recover);
            case SERVER_SLOW ->
                    servers(
                            fault,
                            server -> server.slow(fault.amount()),
                            server -> server.slow(NORMAL_SPEED));
            case SERVER_FAIL -> servers(fault, ServerStandIn::failAll, ServerStandIn::recover);
            case SERVER_FULL -> servers(fault, ServerStandIn::rejectAll, ServerStandIn::recover);
            case SERVER_KILL ->
                    servers(fault, servers::kill, server -> servers.start(server, false));
            case SERVER_VANISH ->
                    servers(fault, servers::vanish, server -> servers.start(server, false));
            case SERVER_REPLACE ->
                    servers(fault, servers::kill, server -> servers.start(server, true));
            case SERVER_DRAIN -> servers(fault, servers::drain, servers::replace);
            case ANSWERS_LOST ->
                    servers(
                            fault,
                            server -> server.loseResponses(fault.amount()),
                            ServerStandIn::recover);
            case REGISTRY_AWAY ->
                    registry(
                            fault,
                            () -> servers.discovery().setRunning(false),
                            () -> servers.discovery().setRunning(true));
            case REGISTRY_SLOW ->
                    registry(
                            fault,
                            () -> servers.discovery().setCallsPerSecond(fault.amount()),
                            () ->
                                    servers.discovery()
                                            .setCallsPerSecond(
                                                    scenario.registry().callsPerSecond()));
            case REGISTRY_SILENT -> servers.discovery().silenceWatches();
            case REGISTRY_FROZEN ->
                    registry(
                            fault,
                            () -> servers.discovery().freeze(true),
                            () -> servers.discovery().freeze(false));
            default -> links(fault);
        }
    }

    private void end(Fault fault, Runnable task) {
        if (fault.duration() > 0) {
            loop.at(
                    fault.at() + fault.duration(),
                    () -> {
                        eventLog.addEvent(
                                loop.now(), "fault " + fault.index(), fault.faultKind() + " ends");
                        task.run();
                    });
        }
    }

    private void registry(Fault fault, Runnable onStart, Runnable onEnd) {
        onStart.run();
        end(fault, onEnd);
    }

    private void nodes(Fault fault, Consumer<Integer> onStart, Consumer<Integer> onEnd) {
        List<Integer> affected =
                choose(
                        fault,
                        numbers(fault.targets(), "n", scenario.nodes().count()),
                        scenario.nodes().count());
        affected.forEach(onStart);
        if (onEnd != null) {
            end(fault, () -> affected.forEach(onEnd));
        }
    }

    private void servers(
            Fault fault, Consumer<ServerStandIn> onStart, Consumer<ServerStandIn> onEnd) {
        int count = servers.all().size();
        List<ServerStandIn> affected =
                choose(fault, numbers(fault.targets(), "s", count), count).stream()
                        .map(servers::server)
                        .toList();
        affected.forEach(onStart);
        end(fault, () -> affected.forEach(onEnd));
    }

    private void links(Fault fault) {
        List<Link> affected = links.between(names(fault.targets()), names(fault.peers()));
        affected.forEach(link -> link.apply(fault));
        end(fault, () -> affected.forEach(Link::clearFaults));
    }

    private List<Integer> choose(Fault fault, List<Integer> named, int count) {
        if (!named.isEmpty()) {
            return named;
        }
        List<Integer> all = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            all.add(i);
        }
        Collections.shuffle(all, new Random(scenario.seed() * 31 + fault.index()));
        return all.subList(0, (int) Math.round(fault.fraction() * count));
    }

    private List<Integer> numbers(List<String> names, String letter, int count) {
        List<Integer> numbers = new ArrayList<>();
        for (String name : names(names)) {
            if (name.startsWith(letter) && Character.isDigit(name.charAt(1))) {
                numbers.add(Integer.parseInt(name.substring(1)));
            }
        }
        return numbers.stream().filter(number -> number <= count).distinct().toList();
    }

    /** Expands group names to the names of single processes. */
    private List<String> names(List<String> named) {
        List<String> names = new ArrayList<>();
        for (String name : named) {
            if (name.equals("nodes")) {
                fleet.nodes().forEach(node -> names.add("n" + node.number()));
            } else if (name.equals("servers")) {
                servers.all().forEach(server -> names.add(server.serverName()));
            } else if (name.startsWith("zone-")) {
                servers.all().stream()
                        .filter(server -> server.zone().equals(name.substring(5)))
                        .forEach(server -> names.add(server.serverName()));
            } else {
                names.add(name);
            }
        }
        return names;
    }
}
