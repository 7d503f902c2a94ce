// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.consensus;

import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import ottergauge.control.log.ChangeLog;
import ottergauge.control.log.LogRetention;
import ottergauge.control.log.SubmissionOutcome;
import ottergauge.resources.Submission;

/**
 * The consensus of a single process that stores nothing, so that each start creates a new log.
 * Intended for tests, and for deployments in which all state can be published again.
 */
public final class InMemoryConsensus implements Consensus {

    private final String name;
    private final SharedLog log;

    /**
     * Creates a new log with a random identifier.
     *
     * @param name the process' name
     */
    public InMemoryConsensus(String name, SharedLog log, LogRetention retention) {
        this.name = name;
        this.log = log;
        log.replace(new ChangeLog(UUID.randomUUID().toString(), retention));
    }

    @Override
    public CompletableFuture<SubmissionOutcome> propose(Submission submission) {
        return CompletableFuture.completedFuture(log.apply(submission));
    }

    @Override
    public Role role() {
        return Role.LEADER;
    }

    @Override
    public Optional<String> leader() {
        return Optional.of(name);
    }

    @Override
    public void close() {
        // Nothing to do: no state is stored and no proposal is pending.
    }
}
