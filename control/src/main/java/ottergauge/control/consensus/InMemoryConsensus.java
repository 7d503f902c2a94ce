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
 * One process that agrees with itself and keeps nothing: each start begins another log. For trials,
 * and where all state can be published again.
 */
public final class InMemoryConsensus implements Consensus {

    private final String name;
    private final SharedLog log;

    /** Begins a new log. */
    public InMemoryConsensus(String name, SharedLog log, LogRetention limits) {
        this.name = name;
        this.log = log;
        log.replace(new ChangeLog(UUID.randomUUID().toString(), limits));
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
        // Nothing is kept and nothing waits.
    }
}
