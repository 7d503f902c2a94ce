// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.consensus;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import ottergauge.control.log.SubmissionOutcome;
import ottergauge.resources.Submission;

/**
 * Orders submissions and applies them to the {@link SharedLog}, in the same order at each process.
 */
public interface Consensus extends AutoCloseable {

    /**
     * Proposes a submission. The future completes within a bounded time: with the outcome once it
     * is durable, or exceptionally with {@link NoQuorumException} if it is not committed or not
     * known to be. It may complete on any thread.
     */
    CompletableFuture<SubmissionOutcome> propose(Submission submission);

    /** The role of this process in its group. */
    Role role();

    /** The name of the leader, if one is known. */
    Optional<String> leader();

    /** Leaves the group; pending proposals fail. */
    @Override
    void close();
}
