// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.workload;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import ottergauge.DecisionApi.ListScope;
import ottergauge.DecisionApi.ListedServer;
import ottergauge.DecisionApi.ServerList;
import ottergauge.DecisionApi.ServerState;
import ottergauge.protocol.HostList.Host;

/** A fleet in the form in which the decision module is told of it, with changes made in turn. */
public final class ListedServers {

    private final List<ListedServer> servers;
    private int nextChanged;

    private ListedServers(List<ListedServer> servers) {
        this.servers = servers;
    }

    /**
     * Draws a fleet; the module sorts by the servers' numbers, which are drawn as evenly as hashes
     * are.
     */
    public static ListedServers draw(int servers, long seed) {
        SplittableRandom numbers = new SplittableRandom(~seed);
        List<ListedServer> listed = new ArrayList<>(servers);
        for (Host host : Fleet.draw(servers, seed, Loopback.UNUSED).whole().hosts()) {
            listed.add(
                    new ListedServer(
                            numbers.nextLong(),
                            Fleet.ZONES.indexOf(host.site()),
                            Fleet.KINDS.indexOf(host.kind()),
                            host.block(),
                            host.state(),
                            host.share(),
                            host.bornMs() * 1000));
        }
        return new ListedServers(listed);
    }

    /** The whole list, as discovery's answer to a first call brings it. */
    public ServerList whole() {
        return new ServerList(ListScope.FULL, List.copyOf(servers));
    }

    /** The next change: one server begins to drain, or is in service again; each in turn. */
    public ServerList change() {
        ListedServer before = servers.get(nextChanged);
        ListedServer after =
                new ListedServer(
                        before.id(),
                        before.zone(),
                        before.kind(),
                        before.cell(),
                        before.state() == ServerState.UP ? ServerState.DRAINING : ServerState.UP,
                        before.nominal(),
                        before.startedAt());
        servers.set(nextChanged, after);
        if (after.state() == ServerState.UP) {
            nextChanged = (nextChanged + 1) % servers.size();
        }
        return new ServerList(ListScope.CHANGES, List.of(after));
    }
}
