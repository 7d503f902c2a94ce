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
 * The log of this process, guarded by a lock, since one thread applies changes and another one
 * serves requests. There is no log until the group has created one. The log is replaced when a
 * newer snapshot is installed. The listener is called without holding the lock.
 */
public final class SharedLog {

    private ChangeLog log;
    private Runnable listener = () -> {};

    /**
     * Sets the listener. It is called after each submission, even if the log rejected it, and after
     * the log was replaced. It runs on the thread that called {@link #apply} or {@link #replace}.
     */
    public synchronized void onChange(Runnable changeListener) {
        listener = changeListener;
    }

    /** Installs the first log, or replaces the current one. */
    public void replace(ChangeLog replacement) {
        Runnable toNotify;
        synchronized (this) {
            log = replacement;
            toNotify = listener;
        }
        toNotify.run();
    }

    /** Applies a submission to the log. A log has to be installed. */
    public SubmissionOutcome apply(Submission submission) {
        SubmissionOutcome outcome;
        Runnable toNotify;
        synchronized (this) {
            outcome = log.apply(submission);
            toNotify = listener;
        }
        toNotify.run();
        return outcome;
    }

    /** The position of the log; empty if none is installed. */
    public synchronized Optional<LogPosition> position() {
        return Optional.ofNullable(log).map(ChangeLog::position);
    }

    /** The oldest retained version of the log. A log has to be installed. */
    public synchronized long oldest() {
        return log.oldest();
    }

    /** See {@link ChangeLog#changesAfter}; a log has to be installed. */
    public synchronized PollResponse changesAfter(
            LogPosition after, Subscription subscription, int maxBytes) {
        return log.changesAfter(after, subscription, maxBytes);
    }

    /** See {@link ChangeLog#snapshot}; a log has to be installed. */
    public synchronized EncodedSnapshot snapshot(
            Optional<ResourceKey> from, Subscription subscription, int maxBytes) {
        return log.snapshot(from, subscription, maxBytes);
    }

    /** A snapshot of the log; empty if none is installed. */
    public synchronized Optional<LogSnapshot> capture() {
        return Optional.ofNullable(log).map(ChangeLog::capture);
    }
}
