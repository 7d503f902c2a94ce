// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import ottergauge.decision.api.UpdateScope;
import ottergauge.protocol.Address;
import ottergauge.protocol.EndpointList;
import ottergauge.protocol.NodeConfig;
import ottergauge.routing.Effect.CancelPoll;
import ottergauge.routing.Effect.PollDiscovery;
import ottergauge.routing.Effect.StartTimer;

/**
 * The node's copy of discovery's list: the version it has, and the chain of calls that is a watch.
 * It owns how old that copy may be ({@link PropagationDeadline}): each call has a time by which its answer
 * has to be there. A watch that breaks or passes it is opened anew at once; what can't be opened is
 * asked again after a pause.
 */
final class DiscoveryWatch {

    // An answer sooner than this that brings nothing is not worth another call at once; the pause
    // still lies
    // well within the 200 ms in which a watch goes on.
    private static final long LEAST_GAP = 50_000;

    // A list that can't be taken is asked for again after the deadline, and each time after twice
    // as long, up
    // to this many doublings: six minutes where the deadline is six seconds.
    private static final int MOST_DOUBLINGS = 6;
    // An answer that was spoilt on its way is sound the next time: so many in a row are no chance.
    private static final int SPOILT_BY_CHANCE = 3;

    // Asks for the whole list: versions of one address need not be those of another.
    private static final long NO_VERSION = -1;
    private static final long NONE = 0;

    private final Consumer<Effect> effects;
    private final SplittableRandom random;
    private PropagationDeadline deadline;
    private Address address;
    private long seq;
    private long lastCall;

    /** The call whose answer goes on with the watch, if one is out. */
    private long current = NONE;

    /** A call that fell silent: still read until the one after it is answered. */
    private long former = NONE;

    private long calledAt;

    /** The version that the call that is out asks from. */
    private long calledFrom;

    /** Whether a call of this watch was answered: it is open, and not only asked for. */
    private boolean answered;

    private int failures;

    /** How many lists in a row could not be taken. */
    private int notTaken;

    /** Another source than discovery tells of the list. */
    private boolean ended;

    /** When the newest list was in hand. */
    private long heardAt = Long.MAX_VALUE;

    DiscoveryWatch(NodeConfig config, Consumer<Effect> effects) {
        this.effects = effects;
        random = new SplittableRandom(~config.seed());
        deadline = PropagationDeadline.of(config.settings().maxPollInterval());
        address = config.discovery();
        seq = config.knownEndpoints().version();
    }

    /**
     * Whether the list is older than it may be. It is not while discovery is known to be away: then
     * there is none newer. It is after the node itself has stood still.
     */
    boolean stale(long now) {
        return failures == 0 && now - heardAt > deadline.within();
    }

    /** Begins a watch: the decisions ask for one at the start. */
    void begin(long now) {
        if (!ended) {
            heardAt = now;
            if (current == NONE) {
                open(now);
            }
        }
    }

    /** Another source tells of the list from now on: discovery is not asked any more. */
    void end() {
        if (!ended) {
            ended = true;
            heardAt = Long.MAX_VALUE;
            giveUp(former, CloseReason.DISCOVERY_LEFT);
            giveUp(current, CloseReason.DISCOVERY_LEFT);
            former = NONE;
            current = NONE;
        }
    }

    /** Nodes have to be able to ask once in this time: it counts from the next call on. */
    void askWithin(long span) {
        deadline = PropagationDeadline.of(span);
    }

    /**
     * Discovery is at another address from now on. The call that is out is not waited for: its
     * address takes no further calls, and what it does not tell any more counts as told soon.
     */
    void move(long now, Address to) {
        if (!to.equals(address) && !ended) {
            address = to;
            seq = NO_VERSION;
            giveUp(former, CloseReason.DISCOVERY_MOVED);
            giveUp(current, CloseReason.DISCOVERY_MOVED);
            former = NONE;
            failures = 0;
            notTaken = 0;
            heardAt = now;
            open(now);
        }
    }

    /** A pause after a call is over. One that another call has overtaken would add to the calls. */
    void resume(long now, long after) {
        if (current == NONE && after == lastCall && !ended) {
            next(now);
        }
    }

    // Goes on with the watch, or asks anew for one that could not be opened.
    private void next(long now) {
        if (answered) {
            long shortest = deadline.shortestWait();
            // Nodes that lose their watches together must not ask anew together: discovery answers
            // in turn.
            long waits = shortest + random.nextLong(deadline.longestWait() - shortest + 1);
            call(now, waits, deadline.silentAfter());
        } else {
            open(now);
        }
    }

    // The first call of a watch hardly waits: its answer says that the watch is alive.
    private void open(long now) {
        answered = false;
        call(
                now,
                seq < 0 ? 0 : deadline.silentAfter(),
                deadline.answerWithin() - deadline.silentAfter());
    }

    private void call(long now, long waits, long within) {
        current = ++lastCall;
        calledAt = now;
        calledFrom = seq;
        effects.accept(new PollDiscovery(current, address, seq, waits));
        effects.accept(new StartTimer(waits + within, new Timer.PollTimeout(current)));
    }

    /** A call's time is over: discovery is slow or away, or the watch has fallen silent. */
    void due(long now, long call) {
        if (call == current) {
            // What it may still bring counts as told when it is written: it is read until the next
            // answers.
            giveUp(former, CloseReason.WATCH_SILENT);
            former = current;
            lost(now);
        }
    }

    /** A call ended with no answer. */
    void failed(long now, long call) {
        if (call == former) {
            former = NONE;
        }
        if (call == current) {
            lost(now);
        }
    }

    // What was a watch is opened anew at once. What could not be opened would not be helped by
    // that:
    // discovery is away, or has too many callers.
    private void lost(long now) {
        current = NONE;
        if (answered) {
            open(now);
        } else {
            long longest = deadline.pause(failures++);
            effects.accept(
                    new StartTimer(
                            longest / 2 + random.nextLong(longest / 2 + 1),
                            new Timer.NextPoll(lastCall)));
        }
    }

    /**
     * A call was answered by a list that can't be taken: the one before stays in force. Asked for
     * again at once it would come again at its full size, from each node and for ever.
     */
    void notTaken(long now, long call) {
        if (call != current || ++notTaken <= SPOILT_BY_CHANCE) {
            failed(now, call);
        } else {
            current = NONE;
            failures++;
            int doublings = Math.min(notTaken - SPOILT_BY_CHANCE - 1, MOST_DOUBLINGS);
            long longest = deadline.within() << doublings;
            effects.accept(
                    new StartTimer(
                            longest / 2 + random.nextLong(longest / 2 + 1),
                            new Timer.NextPoll(lastCall)));
        }
    }

    private void giveUp(long call, CloseReason why) {
        if (call != NONE) {
            effects.accept(new CancelPoll(call, why));
        }
    }

    /**
     * Whether an answer of this call counts. One that is older than what a call beside it brought
     * would undo that; one that is older than what was asked for tells that discovery has begun its
     * versions anew.
     */
    boolean takes(long call, EndpointList list) {
        if (call == current) {
            return calledFrom < 0
                    ? list.complete()
                    : list.version() >= seq || (list.complete() && list.version() < calledFrom);
        }
        return call == former && list.version() > seq;
    }

    /** An answer has come that does not count. */
    void passOver(long now, long call, EndpointList list) {
        if (call == former) {
            former = NONE;
        } else if (call == current && calledFrom < 0) {
            lost(now);
        } else if (call == current && list.version() >= calledFrom) {
            goOn(now, false);
        } else if (call == current) {
            giveUp(former, CloseReason.WATCH_SILENT);
            former = NONE;
            seq = NO_VERSION;
            open(now);
        }
    }

    /**
     * Takes an answer that counts and goes on with the watch; says what of the list is news, if any
     * is.
     */
    Optional<UpdateScope> read(long now, long call, EndpointList list) {
        boolean news = list.complete() || !list.endpoints().isEmpty();
        seq = list.version();
        if (call == former) {
            former = NONE;
        } else {
            news |= !answered;
            goOn(now, news);
        }
        return news
                ? Optional.of(list.complete() ? UpdateScope.FULL : UpdateScope.INCREMENTAL)
                : Optional.empty();
    }

    // The call that is out was answered: the watch is open, and goes on from what is known now.
    private void goOn(long now, boolean news) {
        heardAt = now;
        giveUp(former, CloseReason.WATCH_SILENT);
        former = NONE;
        current = NONE;
        answered = true;
        failures = 0;
        notTaken = 0;
        if (!news && now - calledAt < LEAST_GAP) {
            effects.accept(new StartTimer(LEAST_GAP, new Timer.NextPoll(lastCall)));
        } else {
            next(now);
        }
    }
}
