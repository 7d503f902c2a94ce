// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import ottergauge.control.consensus.SharedLog;
import ottergauge.control.log.PollResponse;
import ottergauge.resources.LogPosition;
import ottergauge.resources.ResourceCodec;
import ottergauge.resources.VersionUnavailable;

/**
 * The calls for changes. One for which there is nothing yet waits for the change that it follows,
 * or for its time to be over. Each change is looked at once for each call that waits; a call that
 * is up to date costs nothing meanwhile.
 */
final class PendingPolls {

    /** How long a caller that is ahead of this process may wait for it to catch up. */
    private static final long MAX_CATCH_UP_WAIT_MS = 1_000;

    private final SharedLog log;
    private final Timers timers;
    private final int most;

    /** In the order in which they came. */
    private final Set<Poll> waiting = new LinkedHashSet<>();

    private boolean stopping;

    PendingPolls(SharedLog log, Timers timers, int most) {
        this.log = log;
        this.timers = timers;
        this.most = most;
    }

    /** A call that waits; {@code reached} moves on past changes that it doesn't follow. */
    private static final class Poll {

        private final Responder responder;
        private final ChangesRequest call;
        private LogPosition reached;
        private boolean ahead;
        private long timer;

        Poll(Responder responder, ChangesRequest call) {
            this.responder = responder;
            this.call = call;
            reached = call.after();
        }
    }

    int count() {
        return waiting.size();
    }

    /** Answers a call, now or when there is something to tell. */
    void take(Responder responder, ChangesRequest call) {
        Poll poll = new Poll(responder, call);
        if (answerIfAny(poll)) {
            return;
        }
        if (call.waitMs() == 0 || stopping) {
            answerAnyway(poll);
        } else if (waiting.size() >= most) {
            responder.unavailable(ErrorJson.BUSY);
        } else {
            park(poll);
        }
    }

    private void park(Poll poll) {
        long waitMs =
                poll.ahead
                        ? Math.min(MAX_CATCH_UP_WAIT_MS, poll.call.waitMs())
                        : poll.call.waitMs();
        waiting.add(poll);
        poll.timer =
                timers.start(
                        waitMs,
                        () -> {
                            waiting.remove(poll);
                            answerAnyway(poll);
                        });
        poll.responder.onDisconnect(
                () -> {
                    waiting.remove(poll);
                    timers.cancel(poll.timer);
                });
    }

    /** The log has changed: answers the calls that it has something for. */
    void wake() {
        Iterator<Poll> each = waiting.iterator();
        while (each.hasNext()) {
            Poll poll = each.next();
            if (answerIfAny(poll)) {
                each.remove();
                timers.cancel(poll.timer);
            }
        }
    }

    /** Answers all that wait, and from now on at once. */
    void stop() {
        stopping = true;
        List<Poll> all = List.copyOf(waiting);
        waiting.clear();
        for (Poll poll : all) {
            timers.cancel(poll.timer);
            poll.responder.closing();
            answerAnyway(poll);
        }
    }

    // Answers if there are changes, or if there is no going on from where the caller is.
    private boolean answerIfAny(Poll poll) {
        PollResponse answer =
                log.changesAfter(poll.reached, poll.call.subscription(), poll.call.maxBytes());
        poll.ahead = answer instanceof PollResponse.Ahead;
        if (answer instanceof PollResponse.VersionUnavailable tooOld) {
            tellTooOld(poll, tooOld);
            return true;
        }
        if (answer instanceof PollResponse.Changes changes) {
            poll.reached = changes.page().upTo();
            if (!changes.page().isEmpty()) {
                poll.responder.answer(HttpStatus.OK, changes.page().json());
                return true;
            }
        }
        return false;
    }

    // Its time is over, with nothing to tell but how far the log was looked through.
    private void answerAnyway(Poll poll) {
        if (poll.ahead) {
            poll.responder.unavailable(ErrorJson.BEHIND);
            return;
        }
        PollResponse answer =
                log.changesAfter(poll.reached, poll.call.subscription(), poll.call.maxBytes());
        if (answer instanceof PollResponse.Changes changes) {
            poll.responder.answer(HttpStatus.OK, changes.page().json());
        } else if (answer instanceof PollResponse.VersionUnavailable tooOld) {
            tellTooOld(poll, tooOld);
        } else {
            poll.responder.unavailable(ErrorJson.BEHIND);
        }
    }

    private static void tellTooOld(Poll poll, PollResponse.VersionUnavailable tooOld) {
        poll.responder.answer(
                HttpStatus.GONE,
                ResourceCodec.write(
                        new VersionUnavailable(
                                tooOld.newest().log(),
                                tooOld.oldest(),
                                tooOld.newest().version())));
    }
}
