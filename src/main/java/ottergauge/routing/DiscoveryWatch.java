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
 * The watch of discovery's endpoint list: the version that the node has, and the chain of polls
 * that keeps it current. Each poll has a timeout, derived from the {@link PropagationDeadline}. A
 * watch that breaks or times out is reopened at once; one that can't be opened is retried after a
 * backoff.
 */
final class DiscoveryWatch {

    // An earlier answer without a change is not followed by another poll at once. The pause stays
    // within the 200 ms in which a watch has to go on.
    private static final long MIN_POLL_GAP_MICROS = 50_000;
    // A rejected list is polled again after the deadline, then after twice that, up to this many
    // doublings: six minutes for a deadline of six seconds.
    private static final int MAX_BACKOFF_DOUBLINGS = 6;
    // Answers that are damaged on the way are intact the next time: more in a row are no accident.
    private static final int MAX_ACCIDENTAL_REJECTIONS = 3;

    // Polls for the complete list: versions of one address need not be those of another.
    private static final long NO_VERSION = -1;
    private static final long NO_POLL = 0;

    private final Consumer<Effect> effects;
    private final SplittableRandom random;
    private PropagationDeadline deadline;
    private Address address;
    private long version;
    private long lastPoll;

    /** The poll whose answer continues the watch, if one is outstanding. */
    private long current = NO_POLL;

    /** A poll that timed out: its answer still counts until the one after it is answered. */
    private long former = NO_POLL;

    private long polledAt;

    /** The version that the outstanding poll asks from. */
    private long polledFrom;

    /** Whether a poll of this watch was answered. */
    private boolean open;

    private int failures;

    /** How many lists in a row were rejected. */
    private int rejections;

    /** Whether the endpoints come from another source than discovery. */
    private boolean ended;

    /** When the newest list was received. */
    private long currentAt = Long.MAX_VALUE;

    /** A watch that has not begun, from the version that the configuration knows. */
    DiscoveryWatch(NodeConfig config, Consumer<Effect> effects) {
        this.effects = effects;
        random = new SplittableRandom(~config.seed());
        deadline = PropagationDeadline.of(config.settings().maxPollInterval());
        address = config.discovery();
        version = config.knownEndpoints().version();
    }

    /**
     * Whether the list may miss a change that is older than the deadline. It does not count as
     * stale while discovery is known to be unreachable, as there is no newer one to be had; it does
     * after the node itself was suspended.
     */
    boolean isStale(long now) {
        return failures == 0 && now - currentAt > deadline.micros();
    }

    /** Begins the watch; the decision module asks for it at its start. */
    void begin(long now) {
        if (!ended) {
            currentAt = now;
            if (current == NO_POLL) {
                openWatch(now);
            }
        }
    }

    /** Ends the watch: the endpoints come from another source from now on. */
    void end() {
        if (!ended) {
            ended = true;
            currentAt = Long.MAX_VALUE;
            cancel(former, CloseReason.DISCOVERY_LEFT);
            cancel(current, CloseReason.DISCOVERY_LEFT);
            former = NO_POLL;
            current = NO_POLL;
        }
    }

    /** Sets the longest time between two polls, in microseconds, from the next poll on. */
    void setMaxPollInterval(long interval) {
        deadline = PropagationDeadline.of(interval);
    }

    /** Moves the watch to another address. Outstanding polls are cancelled: nobody answers them. */
    void move(long now, Address to) {
        if (!to.equals(address) && !ended) {
            address = to;
            version = NO_VERSION;
            cancel(former, CloseReason.DISCOVERY_MOVED);
            cancel(current, CloseReason.DISCOVERY_MOVED);
            former = NO_POLL;
            failures = 0;
            rejections = 0;
            currentAt = now;
            openWatch(now);
        }
    }

    /** A pause after a poll is over; ignored if another poll was sent meanwhile. */
    void resume(long now, long afterPoll) {
        if (current == NO_POLL && afterPoll == lastPoll && !ended) {
            pollNext(now);
        }
    }

    private void pollNext(long now) {
        if (!open) {
            openWatch(now);
            return;
        }
        long shortest = deadline.minPollWait();
        // Nodes that lose their watches together must not poll together again.
        long wait = shortest + random.nextLong(deadline.maxPollWait() - shortest + 1);
        poll(now, wait, deadline.answerDelay());
    }

    // The first poll of a watch hardly waits: its answer shows that the watch is open.
    private void openWatch(long now) {
        open = false;
        poll(
                now,
                version < 0 ? 0 : deadline.answerDelay(),
                deadline.openingTimeout() - deadline.answerDelay());
    }

    private void poll(long now, long maxWait, long answerTimeout) {
        current = ++lastPoll;
        polledAt = now;
        polledFrom = version;
        effects.accept(new PollDiscovery(current, address, version, maxWait));
        effects.accept(new StartTimer(maxWait + answerTimeout, new Timer.PollTimeout(current)));
    }

    /** A poll's answer is due; ignored if it has arrived. */
    void pollTimedOut(long now, long poll) {
        if (poll == current) {
            // Its answer may still arrive, and counts until the next poll is answered.
            cancel(former, CloseReason.WATCH_SILENT);
            former = current;
            lost(now);
        }
    }

    /** A poll ended without an answer. */
    void pollFailed(long now, long poll) {
        if (poll == former) {
            former = NO_POLL;
        }
        if (poll == current) {
            lost(now);
        }
    }

    // An open watch is reopened at once. If it could not be opened, discovery is unreachable or
    // overloaded, and another poll at once would not help.
    private void lost(long now) {
        current = NO_POLL;
        if (open) {
            openWatch(now);
        } else {
            backOff(deadline.maxBackoff(failures++));
        }
    }

    private void backOff(long longest) {
        effects.accept(
                new StartTimer(
                        longest / 2 + random.nextLong(longest / 2 + 1),
                        new Timer.NextPoll(lastPoll)));
    }

    /**
     * A poll's answer was rejected: the list before it stays effective. Polled again at once, a
     * malformed list would be sent at its full size over and over.
     */
    void listRejected(long now, long poll) {
        if (poll != current || ++rejections <= MAX_ACCIDENTAL_REJECTIONS) {
            pollFailed(now, poll);
            return;
        }
        current = NO_POLL;
        failures++;
        int doublings = Math.min(rejections - MAX_ACCIDENTAL_REJECTIONS - 1, MAX_BACKOFF_DOUBLINGS);
        backOff(deadline.micros() << doublings);
    }

    private void cancel(long poll, CloseReason reason) {
        if (poll != NO_POLL) {
            effects.accept(new CancelPoll(poll, reason));
        }
    }

    /**
     * Whether a poll's answer is to be applied. One that is older than another poll's answer would
     * undo that; one that is older than what the poll asked for shows that discovery has restarted
     * its versions.
     */
    boolean accepts(long poll, EndpointList answer) {
        if (poll == current) {
            return polledFrom < 0
                    ? answer.complete()
                    : answer.version() >= version
                            || (answer.complete() && answer.version() < polledFrom);
        }
        return poll == former && answer.version() > version;
    }

    /** An answer that is not accepted has arrived. */
    void answerIgnored(long now, long poll, EndpointList answer) {
        if (poll == former) {
            former = NO_POLL;
        } else if (poll == current && polledFrom < 0) {
            lost(now);
        } else if (poll == current && answer.version() >= polledFrom) {
            goOn(now, false);
        } else if (poll == current) {
            cancel(former, CloseReason.WATCH_SILENT);
            former = NO_POLL;
            version = NO_VERSION;
            openWatch(now);
        }
    }

    /**
     * Takes an answer that is accepted, and continues the watch.
     *
     * @return the scope of the answer for the decision module; empty if nothing has changed
     */
    Optional<UpdateScope> answerAccepted(long now, long poll, EndpointList answer) {
        boolean changed = answer.complete() || !answer.endpoints().isEmpty();
        version = answer.version();
        if (poll == former) {
            former = NO_POLL;
        } else {
            changed |= !open;
            goOn(now, changed);
        }
        if (!changed) {
            return Optional.empty();
        }
        return Optional.of(answer.complete() ? UpdateScope.FULL : UpdateScope.INCREMENTAL);
    }

    // The outstanding poll was answered: the watch is open and the list is current.
    private void goOn(long now, boolean changed) {
        currentAt = now;
        cancel(former, CloseReason.WATCH_SILENT);
        former = NO_POLL;
        current = NO_POLL;
        open = true;
        failures = 0;
        rejections = 0;
        if (!changed && now - polledAt < MIN_POLL_GAP_MICROS) {
            effects.accept(new StartTimer(MIN_POLL_GAP_MICROS, new Timer.NextPoll(lastPoll)));
        } else {
            pollNext(now);
        }
    }
}
