// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.Optional;
import java.util.SplittableRandom;
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
import ottergauge.routing.Effect.GiveUpCall;
import ottergauge.routing.Effect.StartTimer;

/**
 * The node's copy of discovery's list: the version it has, and the chain of calls that is a watch. It owns
 * how old that copy may be: each call has a time by which its answer has to be there, and a watch that passes
 * it has fallen silent and is opened anew at once.
 */
final class Watch {

    private static final long MOST_WAIT = 60_000_000;
    // What a call did not tell counts as told so long after its wait is over, whether or not it came.
    private static final long TOLD_AFTER = 2_000_000;
    // A wait that is over is answered after a trip: this is for what makes it late at either end. The rest of
    // the time until it counts as told is left for the call that opens the watch anew and waits for its turn.
    private static final long SILENT_AFTER = TOLD_AFTER / 8;
    // An answer sooner than this that brings nothing is not worth another call at once; the pause still lies
    // well within the 200 ms in which a watch goes on.
    private static final long PAUSE = 50_000;

    // Asks for the whole list: versions of one address need not be those of another.
    private static final long NO_VERSION = -1;
    private static final long NONE = 0;

    private final NodeConfig config;
    private final Consumer<Effect> effects;
    private final SplittableRandom random;
    private Address address;
    private long seq;
    private long lastCall;
    /** The call whose answer goes on with the watch, if one is out. */
    private long current = NONE;
    /** A call that fell silent: still read until the one after it is answered. */
    private long former = NONE;
    private long calledAt;
    private boolean answered;

    Watch(NodeConfig config, Consumer<Effect> effects) {
        this.config = config;
        this.effects = effects;
        random = new SplittableRandom(~config.seed());
        address = config.discovery();
        seq = config.known().seq();
    }

    /** Begins a watch: the decisions ask for one at the start and after each that failed. */
    void begin(long now) {
        if (current == NONE) {
            open(now);
        }
    }

    /**
     * Discovery is at another address from now on. The call that is out is not waited for: its address takes
     * no further calls, and what it does not tell any more counts as told soon.
     */
    void move(long now, Address to) {
        if (!to.equals(address)) {
            address = to;
            seq = NO_VERSION;
            giveUp(former, CloseReason.DISCOVERY_MOVED);
            giveUp(current, CloseReason.DISCOVERY_MOVED);
            former = NONE;
            open(now);
        }
    }

    /** Goes on with the watch. */
    void resume(long now) {
        if (current == NONE) {
            call(now, usualWait(), SILENT_AFTER);
        }
    }

    // The first call of a watch hardly waits: its answer says that the watch is alive, and the next ones need
    // not stand in a line. Answered in its turn, it may take what discovery allows.
    private void open(long now) {
        answered = false;
        call(now, seq < 0 ? 0 : SILENT_AFTER, TOLD_AFTER);
    }

    // Nodes that lose their watches together must not ask anew together: discovery answers in turn, and who
    // waits for longer than TOLD_AFTER sends to servers that leave. Each node must be able to ask once in
    // askWithin, so the ends of waits are spread over as long a time, and come as seldom in the mean.
    private long usualWait() {
        long span = Math.min(config.askWithin(), MOST_WAIT / 3 * 2);
        return span / 2 + random.nextLong(span + 1);
    }

    private void call(long now, long waits, long within) {
        current = ++lastCall;
        calledAt = now;
        effects.accept(new CallDiscovery(current, address, seq, waits));
        effects.accept(new StartTimer(waits + within, new Timer.CallDue(current)));
    }

    /** A call's time is over. Gives back what the decisions have to know. */
    Optional<DecisionApi.Event> due(long now, long call) {
        if (call != current) {
            return Optional.empty();
        }
        if (!answered) {
            // Not a watch yet: discovery is slow or away, and asking at once would not help it.
            giveUp(call, CloseReason.WATCH_SILENT);
            return Optional.of(failed());
        }
        // What it may still bring counts as told when it is written: it is read until the next one answers.
        former = current;
        open(now);
        return Optional.empty();
    }

    private void giveUp(long call, CloseReason why) {
        if (call != NONE) {
            effects.accept(new GiveUpCall(call, why));
        }
    }

    /** Whether an answer of this call counts: not if it is older than what is known. */
    boolean takes(long call, HostList list) {
        return call == current && (list.whole() || list.seq() >= seq)
            || call == former && call != NONE && list.seq() > seq;
    }

    /** Takes an answer that counts, goes on with the watch, and says what the decisions have to know. */
    Optional<DecisionApi.Event> read(long now, long call, HostList list) {
        boolean news = list.whole() || !list.hosts().isEmpty();
        seq = list.seq();
        if (call == former) {
            former = NONE;
        } else {
            giveUp(former, CloseReason.WATCH_SILENT);
            former = NONE;
            news |= !answered;
            answered = true;
            current = NONE;
            if (!news && now - calledAt < PAUSE) {
                effects.accept(new StartTimer(PAUSE, new Timer.NextCall()));
            } else {
                resume(now);
            }
        }
        return news ? Optional.of(listed(list, list.whole() ? ListScope.FULL : ListScope.CHANGES))
            : Optional.empty();
    }

    /** A call ended with no answer. */
    Optional<DecisionApi.Event> failed(long call) {
        if (call == former) {
            former = NONE;
        }
        return call == current && call != NONE ? Optional.of(failed()) : Optional.empty();
    }

    private DecisionApi.Event failed() {
        current = NONE;
        return new ListFailed();
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
