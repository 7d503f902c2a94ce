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
 * Watches discovery's endpoint list by a series of polls, each of which asks for changes after the
 * version that the node has. Each poll has a timeout, derived from the {@link PropagationDeadline}.
 * A watch that breaks or times out is reopened at once; one that can't be opened is retried after a
 * backoff.
 */
final class DiscoveryWatch {

    // If discovery answers a poll sooner than this and without a change, the next poll is delayed
    // by this time. The delay is shorter than the 200 ms after an answer within which the node must
    // send the next poll.
    private static final long MIN_POLL_GAP_MICROS = 50_000;
    // After more rejected lists in a row than MAX_TRANSIENT_REJECTIONS, the next poll is delayed by
    // up to the deadline. The delay doubles with each further rejected list, up to this number of
    // times: about six minutes for a deadline of six seconds.
    private static final int MAX_BACKOFF_DOUBLINGS = 6;
    // An answer that was damaged in transit is intact at the next poll. If more answers in a row
    // are rejected, the list itself is malformed.
    private static final int MAX_TRANSIENT_REJECTIONS = 3;

    // A poll after this version requests the complete list. It is needed after the watch has moved
    // to another address, because versions may be numbered differently there, and after discovery
    // has restarted its version numbers.
    private static final long NO_VERSION = -1;
    private static final long NO_POLL = 0;

    private final Consumer<Effect> effects;
    private final SplittableRandom random;
    private PropagationDeadline deadline;
    private Address address;
    private long version;
    private long lastPoll;

    /** The poll whose answer continues the watch, if one is outstanding. */
    private long currentPoll = NO_POLL;

    /** A poll that timed out. Its answer is still accepted until the poll after it is answered. */
    private long timedOutPoll = NO_POLL;

    private long polledAt;

    /** The version after which the outstanding poll requests changes. */
    private long polledVersion;

    /** Whether a poll of this watch was answered. */
    private boolean open;

    private int failures;

    /** How many lists in a row were rejected. */
    private int rejections;

    /** Whether the endpoints come from a source other than discovery. */
    private boolean ended;

    /** When the list was last known to be current. */
    private long lastCurrentAt = Long.MAX_VALUE;

    /**
     * Creates a watch that has not begun, starting from the version of the known endpoints in the
     * configuration.
     */
    DiscoveryWatch(NodeConfig config, Consumer<Effect> effects) {
        this.effects = effects;
        random = new SplittableRandom(~config.seed());
        deadline = PropagationDeadline.of(config.settings().maxPollInterval());
        address = config.discovery();
        version = config.knownEndpoints().version();
    }

    /**
     * Whether the list may lack a change that is older than the deadline, for example after the
     * node itself was suspended. While discovery is known to be unreachable, the list is not
     * considered stale, since no newer one is available.
     */
    boolean isStale(long now) {
        return failures == 0 && now - lastCurrentAt > deadline.micros();
    }

    /** Begins the watch; the decision module requests this when it starts. */
    void begin(long now) {
        if (!ended) {
            lastCurrentAt = now;
            if (currentPoll == NO_POLL) {
                openWatch(now);
            }
        }
    }

    /** Ends the watch: the endpoints come from another source from now on. */
    void end() {
        if (!ended) {
            ended = true;
            lastCurrentAt = Long.MAX_VALUE;
            cancel(timedOutPoll, CloseReason.DISCOVERY_LEFT);
            cancel(currentPoll, CloseReason.DISCOVERY_LEFT);
            timedOutPoll = NO_POLL;
            currentPoll = NO_POLL;
        }
    }

    /** Sets the longest time between two polls, in microseconds, from the next poll on. */
    void setMaxPollInterval(long interval) {
        deadline = PropagationDeadline.of(interval);
    }

    /**
     * Moves the watch to another address. Outstanding polls are cancelled, since they may never be
     * answered.
     */
    void move(long now, Address to) {
        if (!to.equals(address) && !ended) {
            address = to;
            version = NO_VERSION;
            cancel(timedOutPoll, CloseReason.DISCOVERY_MOVED);
            cancel(currentPoll, CloseReason.DISCOVERY_MOVED);
            timedOutPoll = NO_POLL;
            failures = 0;
            rejections = 0;
            lastCurrentAt = now;
            openWatch(now);
        }
    }

    /** The delay after a poll is over; ignored if another poll was sent meanwhile. */
    void resume(long now, long afterPoll) {
        if (currentPoll == NO_POLL && afterPoll == lastPoll && !ended) {
            pollNext(now);
        }
    }

    private void pollNext(long now) {
        if (!open) {
            openWatch(now);
            return;
        }
        long shortest = deadline.minPollWait();
        // A random wait spreads the polls of nodes whose watches broke at the same time.
        long wait = shortest + random.nextLong(deadline.maxPollWait() - shortest + 1);
        poll(now, wait, deadline.answerDelay());
    }

    // Discovery may delay its answer to the first poll of a watch only briefly, since that answer
    // shows that the watch is open.
    private void openWatch(long now) {
        open = false;
        poll(
                now,
                version < 0 ? 0 : deadline.answerDelay(),
                deadline.openingTimeout() - deadline.answerDelay());
    }

    private void poll(long now, long maxWait, long answerTimeout) {
        currentPoll = ++lastPoll;
        polledAt = now;
        polledVersion = version;
        effects.accept(new PollDiscovery(currentPoll, address, version, maxWait));
        effects.accept(new StartTimer(maxWait + answerTimeout, new Timer.PollTimeout(currentPoll)));
    }

    /** The timeout of a poll has expired; ignored if its answer has arrived. */
    void pollTimedOut(long now, long poll) {
        if (poll == currentPoll) {
            // Its answer may still arrive, and is accepted until the next poll is answered.
            cancel(timedOutPoll, CloseReason.WATCH_SILENT);
            timedOutPoll = currentPoll;
            pollLost(now);
        }
    }

    /** A poll ended without an answer. */
    void pollFailed(long now, long poll) {
        if (poll == timedOutPoll) {
            timedOutPoll = NO_POLL;
        }
        if (poll == currentPoll) {
            pollLost(now);
        }
    }

    // An open watch is reopened at once. If it could not be opened, discovery is unreachable or
    // overloaded, and an immediate poll would not help.
    private void pollLost(long now) {
        currentPoll = NO_POLL;
        if (open) {
            openWatch(now);
        } else {
            backOff(deadline.maxBackoff(failures++));
        }
    }

    private void backOff(long maxDelay) {
        effects.accept(
                new StartTimer(
                        maxDelay / 2 + random.nextLong(maxDelay / 2 + 1),
                        new Timer.NextPoll(lastPoll)));
    }

    /**
     * A poll's answer was rejected; the previous list stays effective. Repeated rejections delay
     * the next poll: otherwise discovery would send a malformed list at its full size again and
     * again.
     */
    void listRejected(long now, long poll) {
        if (poll != currentPoll || ++rejections <= MAX_TRANSIENT_REJECTIONS) {
            pollFailed(now, poll);
            return;
        }
        currentPoll = NO_POLL;
        failures++;
        int doublings = Math.min(rejections - MAX_TRANSIENT_REJECTIONS - 1, MAX_BACKOFF_DOUBLINGS);
        backOff(deadline.micros() << doublings);
    }

    private void cancel(long poll, CloseReason reason) {
        if (poll != NO_POLL) {
            effects.accept(new CancelPoll(poll, reason));
        }
    }

    /**
     * Whether a poll's answer is to be applied. An answer that is older than another poll's answer
     * is ignored, since it would undo that one. A complete list that is older than the version
     * named in its poll is applied, since it shows that discovery has restarted its version
     * numbers.
     */
    boolean accepts(long poll, EndpointList answer) {
        if (poll == currentPoll) {
            return polledVersion < 0
                    ? answer.complete()
                    : answer.version() >= version
                            || (answer.complete() && answer.version() < polledVersion);
        }
        return poll == timedOutPoll && answer.version() > version;
    }

    /** An answer that is not accepted has arrived. */
    void answerIgnored(long now, long poll, EndpointList answer) {
        if (poll == timedOutPoll) {
            timedOutPoll = NO_POLL;
        } else if (poll == currentPoll && polledVersion < 0) {
            pollLost(now);
        } else if (poll == currentPoll && answer.version() >= polledVersion) {
            continueWatch(now, false);
        } else if (poll == currentPoll) {
            cancel(timedOutPoll, CloseReason.WATCH_SILENT);
            timedOutPoll = NO_POLL;
            version = NO_VERSION;
            openWatch(now);
        }
    }

    /**
     * Processes an accepted answer and continues the watch.
     *
     * @return the scope of the answer for the decision module; empty if nothing has changed
     */
    Optional<UpdateScope> answerAccepted(long now, long poll, EndpointList answer) {
        boolean changed = answer.complete() || !answer.endpoints().isEmpty();
        version = answer.version();
        if (poll == timedOutPoll) {
            timedOutPoll = NO_POLL;
        } else {
            changed |= !open;
            continueWatch(now, changed);
        }
        if (!changed) {
            return Optional.empty();
        }
        return Optional.of(answer.complete() ? UpdateScope.FULL : UpdateScope.INCREMENTAL);
    }

    // The outstanding poll was answered, so the watch is open and the list is current.
    private void continueWatch(long now, boolean changed) {
        lastCurrentAt = now;
        cancel(timedOutPoll, CloseReason.WATCH_SILENT);
        timedOutPoll = NO_POLL;
        currentPoll = NO_POLL;
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
