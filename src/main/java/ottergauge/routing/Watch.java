// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.Optional;
import java.util.function.Consumer;
import ottergauge.DecisionApi;
import ottergauge.DecisionApi.ListFailed;
import ottergauge.DecisionApi.ListScope;
import ottergauge.DecisionApi.ListedServer;
import ottergauge.DecisionApi.ServerList;
import ottergauge.protocol.Address;
import ottergauge.protocol.HostList;
import ottergauge.protocol.NodeConfig;
import ottergauge.routing.Effect.CallDiscovery;
import ottergauge.routing.Effect.StartTimer;

/** The node's copy of discovery's list: the version it has, and the chain of calls that is a watch. */
final class Watch {

    private static final long MOST_WAIT = 60_000_000;
    // An answer sooner than this that brings nothing is not worth another call at once; the pause still lies
    // well within the 200 ms in which a watch goes on.
    private static final long PAUSE = 50_000;

    // Asks for the whole list: versions of one address need not be those of another.
    private static final long NO_VERSION = -1;

    private final NodeConfig config;
    private final Consumer<Effect> effects;
    private Address address;
    private long seq;
    private long lastCall;
    private boolean out;
    private long calledAt;
    private boolean answered;

    Watch(NodeConfig config, Consumer<Effect> effects) {
        this.config = config;
        this.effects = effects;
        address = config.discovery();
        seq = config.known().seq();
    }

    /** Begins a watch: the decisions ask for one at the start and after each that failed. */
    void begin(long now) {
        answered = false;
        resume(now);
    }

    /**
     * Discovery is at another address from now on. The call that is out is not waited for: its address takes
     * no further calls, and what it does not tell any more counts as told soon.
     */
    void move(long now, Address to) {
        if (!to.equals(address)) {
            address = to;
            seq = NO_VERSION;
            answered = false;
            call(now);
        }
    }

    /** Goes on with the watch. */
    void resume(long now) {
        if (!out) {
            call(now);
        }
    }

    private void call(long now) {
        out = true;
        calledAt = now;
        // A node that has neither watched nor asked for this time counts as told: a call that hangs unnoticed
        // is found out no later.
        effects.accept(new CallDiscovery(++lastCall, address, seq,
            seq < 0 ? 0 : Math.min(MOST_WAIT, config.askWithin())));
    }

    /** Takes an answer, goes on with the watch, and says what the decisions have to know of it. */
    Optional<DecisionApi.Event> read(long now, HostList list) {
        out = false;
        boolean news = list.whole() || !list.hosts().isEmpty() || !answered;
        answered = true;
        seq = list.seq();
        if (!news && now - calledAt < PAUSE) {
            effects.accept(new StartTimer(PAUSE, new Timer.NextCall()));
        } else {
            call(now);
        }
        return news ? Optional.of(listed(list, list.whole() ? ListScope.FULL : ListScope.CHANGES))
            : Optional.empty();
    }

    DecisionApi.Event failed() {
        out = false;
        return new ListFailed();
    }

    /** Whether this is the call whose answer counts: one that was given up may still bring something. */
    boolean awaits(long call) {
        return out && call == lastCall;
    }

    DecisionApi.Event lastKnown(HostList known) {
        return listed(known, ListScope.LAST_KNOWN);
    }

    /** What changed for other reasons than discovery's. */
    DecisionApi.Event changed(HostList list) {
        return listed(list, ListScope.CHANGES);
    }

    private ServerList listed(HostList list, ListScope scope) {
        return new ServerList(scope, list.hosts().stream().map(this::listed).toList());
    }

    private ListedServer listed(HostList.Host host) {
        return new ListedServer(ServerIds.of(host.name()), config.zones().indexOf(host.site()),
            config.kinds().indexOf(host.kind()), host.block(), host.state(), host.share(),
            host.bornMs() * 1000);
    }
}
