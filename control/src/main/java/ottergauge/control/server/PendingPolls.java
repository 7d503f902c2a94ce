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
 * The pending long polls for changes. The server responds to a poll once the log has a change that
 * matches the poll's subscription, or when the poll's wait is over. Each change is matched at most
 * once against each pending poll. Used only on the event loop.
 */
final class PendingPolls {

    /**
     * The maximum time for which a poll is held if its client is ahead of this control process, so
     * that the process can catch up.
     */
    private static final long MAX_CATCH_UP_WAIT_MS = 1_000;

    private final SharedLog log;
    private final Timers timers;
    private final int maxPending;

    /** The pending polls, in the order of arrival. */
    private final Set<Poll> pending = new LinkedHashSet<>();

    private boolean stopping;

    PendingPolls(SharedLog log, Timers timers, int maxPending) {
        this.log = log;
        this.timers = timers;
        this.maxPending = maxPending;
    }

    /** A poll. {@code scannedUpTo} advances past changes that don't match its subscription. */
    private static final class Poll {

        private final Responder responder;
        private final ChangesRequest request;
        private LogPosition scannedUpTo;
        private boolean clientIsAhead;
        private long timerId;

        Poll(Responder responder, ChangesRequest request) {
            this.responder = responder;
            this.request = request;
            scannedUpTo = request.after();
        }
    }

    /** The number of pending polls. */
    int count() {
        return pending.size();
    }

    /**
     * Responds to a poll at once if the log has changes for it. Otherwise keeps the poll pending
     * until the log has such changes or the wait of the poll is over. Rejects the poll if too many
     * polls are pending.
     */
    void handle(Responder responder, ChangesRequest request) {
        Poll poll = new Poll(responder, request);
        if (respondIfReady(poll)) {
            return;
        }
        if (request.waitMs() == 0 || stopping) {
            respondNow(poll);
        } else if (pending.size() >= maxPending) {
            responder.respondUnavailable(ErrorJson.BUSY);
        } else {
            addPending(poll);
        }
    }

    private void addPending(Poll poll) {
        long waitMs = poll.request.waitMs();
        pending.add(poll);
        poll.timerId =
                timers.start(
                        poll.clientIsAhead ? Math.min(MAX_CATCH_UP_WAIT_MS, waitMs) : waitMs,
                        () -> {
                            pending.remove(poll);
                            respondNow(poll);
                        });
        poll.responder.onDisconnect(
                () -> {
                    pending.remove(poll);
                    timers.cancel(poll.timerId);
                });
    }

    /** Called when the log has changed. Responds to the polls for which there are changes. */
    void logChanged() {
        Iterator<Poll> polls = pending.iterator();
        while (polls.hasNext()) {
            Poll poll = polls.next();
            if (respondIfReady(poll)) {
                polls.remove();
                timers.cancel(poll.timerId);
            }
        }
    }

    /** Responds to all pending polls. From now on, new polls get an immediate response. */
    void stop() {
        stopping = true;
        List<Poll> all = List.copyOf(pending);
        pending.clear();
        for (Poll poll : all) {
            timers.cancel(poll.timerId);
            poll.responder.closeAfterResponse();
            respondNow(poll);
        }
    }

    // Responds if there are changes, or if the client has to fetch a snapshot.
    private boolean respondIfReady(Poll poll) {
        PollResponse response = scan(poll);
        poll.clientIsAhead = response instanceof PollResponse.Ahead;
        if (response instanceof PollResponse.VersionUnavailable unavailable) {
            respondVersionUnavailable(poll, unavailable);
            return true;
        }
        if (response instanceof PollResponse.Changes changes) {
            poll.scannedUpTo = changes.page().upTo();
            if (!changes.page().isEmpty()) {
                poll.responder.respond(HttpStatus.OK, changes.page().json());
                return true;
            }
        }
        return false;
    }

    // Called when the wait is over. The response may contain no changes, but only the position up
    // to which the log was scanned.
    private void respondNow(Poll poll) {
        if (poll.clientIsAhead) {
            poll.responder.respondUnavailable(ErrorJson.BEHIND);
            return;
        }
        PollResponse response = scan(poll);
        if (response instanceof PollResponse.Changes changes) {
            poll.responder.respond(HttpStatus.OK, changes.page().json());
        } else if (response instanceof PollResponse.VersionUnavailable unavailable) {
            respondVersionUnavailable(poll, unavailable);
        } else {
            poll.responder.respondUnavailable(ErrorJson.BEHIND);
        }
    }

    private PollResponse scan(Poll poll) {
        return log.changesAfter(
                poll.scannedUpTo, poll.request.subscription(), poll.request.maxBytes());
    }

    private static void respondVersionUnavailable(
            Poll poll, PollResponse.VersionUnavailable unavailable) {
        poll.responder.respond(
                HttpStatus.GONE,
                ResourceCodec.write(
                        new VersionUnavailable(
                                unavailable.newest().log(),
                                unavailable.oldest(),
                                unavailable.newest().version())));
    }
}
