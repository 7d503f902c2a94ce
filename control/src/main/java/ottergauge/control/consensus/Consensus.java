// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.consensus;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import ottergauge.control.log.SubmissionOutcome;
import ottergauge.resources.Submission;

/**
 * Orders submissions and has them applied to the {@link SharedLog}, in the same order at each
 * process.
 */
public interface Consensus extends AutoCloseable {

    /**
     * Asks for a change. The future has the outcome once it can't be lost any more, and within a
     * bounded time; it fails with {@link NoQuorumException} if that isn't reached or isn't known to
     * be.
     */
    CompletableFuture<SubmissionOutcome> propose(Submission submission);

    Role role();

    /** The name of the process that orders submissions, if one is known. */
    Optional<String> leader();

    /** Takes no further part; what was proposed and is not decided by now fails. */
    @Override
    void close();
}
