// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import io.vertx.core.Context;
import java.util.concurrent.CompletionException;
import ottergauge.control.consensus.Consensus;
import ottergauge.control.consensus.NoQuorumException;
import ottergauge.control.log.SubmissionOutcome;
import ottergauge.protocol.ProtocolException;
import ottergauge.resources.InvalidSubmissionException;
import ottergauge.resources.ResourceCodec;
import ottergauge.resources.Submission;

/**
 * Proposes submissions to the consensus and responds with their outcomes. Limits the number of
 * pending submissions. Used only on the event loop.
 */
final class SubmissionHandler {

    private static final int MAX_PENDING_SUBMISSIONS = 256;

    private final Consensus consensus;
    private final Context context;
    private final RateLimitedLogger warnings;
    private int pending;

    SubmissionHandler(Consensus consensus, Context context, RateLimitedLogger warnings) {
        this.consensus = consensus;
        this.context = context;
        this.warnings = warnings;
    }

    /** The number of submissions that have no outcome yet. */
    int pending() {
        return pending;
    }

    void handle(HttpExchange exchange, byte[] body) {
        Submission submission;
        try {
            submission = ResourceCodec.readSubmission(body);
        } catch (InvalidSubmissionException e) {
            warn(exchange, e.getMessage());
            exchange.respond(HttpStatus.BAD_REQUEST, ResourceCodec.writeErrors(e.errors()));
            return;
        } catch (ProtocolException e) {
            warn(exchange, e.getMessage());
            exchange.respond(HttpStatus.BAD_REQUEST, ErrorJson.of(e.getMessage()));
            return;
        }
        if (pending >= MAX_PENDING_SUBMISSIONS) {
            exchange.respondUnavailable(ErrorJson.BUSY);
            return;
        }
        pending++;
        // completed() also handles failures, so the returned future can be ignored.
        var unused =
                consensus
                        .propose(submission)
                        .whenComplete(
                                (outcome, failure) ->
                                        context.runOnContext(
                                                run ->
                                                        completed(
                                                                exchange,
                                                                submission,
                                                                outcome,
                                                                failure)));
    }

    private void completed(
            HttpExchange exchange,
            Submission submission,
            SubmissionOutcome outcome,
            Throwable failure) {
        pending--;
        if (failure != null) {
            Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
            String reason =
                    cause instanceof NoQuorumException ? cause.getMessage() : cause.toString();
            warnings.warn(
                    "submission " + submission.id() + " not known to be committed: " + reason);
            exchange.respondUnavailable(ErrorJson.NO_QUORUM);
        } else if (outcome instanceof SubmissionOutcome.Rejected rejected) {
            warn(exchange, rejected.errors().get(0).toString());
            exchange.respond(HttpStatus.BAD_REQUEST, ResourceCodec.writeErrors(rejected.errors()));
        } else if (outcome instanceof SubmissionOutcome.Accepted accepted) {
            exchange.respond(HttpStatus.OK, ResourceCodec.write(accepted.position()));
        }
    }

    private void warn(HttpExchange exchange, String reason) {
        warnings.warn(
                "rejected submission from " + exchange.request().remoteAddress() + ": " + reason);
    }
}
