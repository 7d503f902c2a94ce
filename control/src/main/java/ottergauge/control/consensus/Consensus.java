// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.consensus;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import ottergauge.control.log.SubmissionOutcome;
import ottergauge.resources.Submission;

/**
 * Orders submissions and applies them to the {@link SharedLog} in the same order in each process.
 */
public interface Consensus extends AutoCloseable {

    /**
     * Proposes a submission. The future completes within a bounded time and on any thread. It
     * completes with the outcome once that is durable. It completes exceptionally with {@link
     * NoQuorumException} if the submission was not committed, or if it is not known whether it was
     * committed.
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
