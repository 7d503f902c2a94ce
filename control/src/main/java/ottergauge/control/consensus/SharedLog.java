// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.consensus;

import java.util.Optional;
import ottergauge.control.log.ChangeLog;
import ottergauge.control.log.EncodedSnapshot;
import ottergauge.control.log.LogSnapshot;
import ottergauge.control.log.PollResponse;
import ottergauge.control.log.SubmissionOutcome;
import ottergauge.resources.LogPosition;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.Submission;
import ottergauge.resources.Subscription;

/**
 * The log of this process, for the thread that applies changes and the one that answers calls.
 * There is none before the group has begun one; another may take its place when a newer state is
 * installed.
 */
public final class SharedLog {

    private ChangeLog log;
    private Runnable listener = () -> {};

    /** The handler is called after each change of the log, by the thread that made it. */
    public synchronized void onChange(Runnable handler) {
        listener = handler;
    }

    /** Begins with a log, or goes over to another one. */
    public void replace(ChangeLog other) {
        Runnable told;
        synchronized (this) {
            log = other;
            told = listener;
        }
        told.run();
    }

    /** Applies a submission; there has to be a log. */
    public SubmissionOutcome apply(Submission submission) {
        SubmissionOutcome outcome;
        Runnable told;
        synchronized (this) {
            outcome = log.apply(submission);
            told = listener;
        }
        told.run();
        return outcome;
    }

    /** Where the log is; empty as long as there is none. */
    public synchronized Optional<LogPosition> position() {
        return Optional.ofNullable(log).map(ChangeLog::position);
    }

    /** The oldest change that is kept; there has to be a log. */
    public synchronized long oldest() {
        return log.oldest();
    }

    /** See {@link ChangeLog#changesAfter}; there has to be a log. */
    public synchronized PollResponse changesAfter(
            LogPosition after, Subscription subscription, int maxBytes) {
        return log.changesAfter(after, subscription, maxBytes);
    }

    /** See {@link ChangeLog#snapshot}; there has to be a log. */
    public synchronized EncodedSnapshot snapshot(
            Optional<ResourceKey> from, Subscription subscription, int maxBytes) {
        return log.snapshot(from, subscription, maxBytes);
    }

    /** What the log holds now; empty as long as there is none. */
    public synchronized Optional<LogSnapshot> capture() {
        return Optional.ofNullable(log).map(ChangeLog::capture);
    }
}
