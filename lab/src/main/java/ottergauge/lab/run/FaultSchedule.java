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
import ottergauge.lab.server.ServerHost;

/** Begins and ends each fault of a play at its time, with whom it befalls drawn from the seed. */
final class FaultSchedule {

    private static final int HEALTHY = 1;

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
                "fault " + fault.line(),
                fault.what()
                        + " begins for "
                        + (fault.who().isEmpty()
                                ? fault.part() + " of them"
                                : String.join(", ", fault.who())));
        switch (fault.what()) {
            case NODE_KILL -> nodes(fault, node -> fleet.kill(node, fault.lasts()), null);
            case NODE_TERM -> nodes(fault, node -> fleet.term(node, fault.lasts()), null);
            case NODE_HUP -> nodes(fault, fleet::hangUp, null);
            case NODE_STALL -> nodes(fault, fleet::stall, fleet::goOn);
            case NODE_CORES ->
                    nodes(
                            fault,
                            node -> fleet.cores(node, fault.amount()),
                            node -> fleet.cores(node, scenario.nodes().cores()));
            case SERVER_STALL -> servers(fault, ServerHost::stall, ServerHost::recover);
            case SERVER_SLOW ->
                    servers(
                            fault,
                            server -> server.slow(fault.amount()),
                            server -> server.slow(HEALTHY));
            case SERVER_FAIL -> servers(fault, ServerHost::failAll, ServerHost::recover);
            case SERVER_FULL -> servers(fault, ServerHost::fillUp, ServerHost::recover);
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
                            server -> server.loseAnswers(fault.amount()),
                            ServerHost::recover);
            case REGISTRY_AWAY ->
                    registry(
                            fault,
                            () -> servers.discovery().up(false),
                            () -> servers.discovery().up(true));
            case REGISTRY_SLOW ->
                    registry(
                            fault,
                            () -> servers.discovery().speed(fault.amount()),
                            () -> servers.discovery().speed(scenario.registry().callsPerSecond()));
            case REGISTRY_SILENT -> servers.discovery().silence();
            case REGISTRY_FROZEN ->
                    registry(
                            fault,
                            () -> servers.discovery().freeze(true),
                            () -> servers.discovery().freeze(false));
            default -> links(fault);
        }
    }

    private void end(Fault fault, Runnable task) {
        if (fault.lasts() > 0) {
            loop.at(
                    fault.at() + fault.lasts(),
                    () -> {
                        eventLog.addEvent(loop.now(), "fault " + fault.line(), fault.what() + " ends");
                        task.run();
                    });
        }
    }

    private void registry(Fault fault, Runnable begins, Runnable ends) {
        begins.run();
        end(fault, ends);
    }

    private void nodes(Fault fault, Consumer<Integer> begins, Consumer<Integer> ends) {
        List<Integer> hit =
                drawn(
                        fault,
                        numbers(fault.who(), "n", scenario.nodes().count()),
                        scenario.nodes().count());
        hit.forEach(begins);
        if (ends != null) {
            end(fault, () -> hit.forEach(ends));
        }
    }

    private void servers(Fault fault, Consumer<ServerHost> begins, Consumer<ServerHost> ends) {
        int count = servers.all().size();
        List<ServerHost> hit =
                drawn(fault, numbers(fault.who(), "s", count), count).stream()
                        .map(servers::server)
                        .toList();
        hit.forEach(begins);
        end(fault, () -> hit.forEach(ends));
    }

    private void links(Fault fault) {
        List<Link> hit = links.between(names(fault.who()), names(fault.to()));
        hit.forEach(link -> link.apply(fault));
        end(fault, () -> hit.forEach(Link::heal));
    }

    private List<Integer> drawn(Fault fault, List<Integer> named, int count) {
        if (!named.isEmpty()) {
            return named;
        }
        List<Integer> all = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            all.add(i);
        }
        Collections.shuffle(all, new Random(scenario.seed() * 31 + fault.line()));
        return all.subList(0, (int) Math.round(fault.part() * count));
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

    /** The single processes that names stand for. */
    private List<String> names(List<String> named) {
        List<String> names = new ArrayList<>();
        for (String name : named) {
            if (name.equals("nodes")) {
                fleet.nodes().forEach(node -> names.add("n" + node.number()));
            } else if (name.equals("servers")) {
                servers.all().forEach(server -> names.add(server.place()));
            } else if (name.startsWith("zone-")) {
                servers.all().stream()
                        .filter(server -> server.zone().equals(name.substring(5)))
                        .forEach(server -> names.add(server.place()));
            } else {
                names.add(name);
            }
        }
        return names;
    }
}
