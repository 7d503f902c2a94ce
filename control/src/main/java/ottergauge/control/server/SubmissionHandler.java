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

/** The submissions that are on their way: bounded by number, each answered with its outcome. */
final class SubmissionHandler {

    private static final int MAX_PENDING_SUBMISSIONS = 256;

    private final Consensus consensus;
    private final Context context;
    private final RateLimitedLogger warnings;
    private int open;

    SubmissionHandler(Consensus consensus, Context context, RateLimitedLogger warnings) {
        this.consensus = consensus;
        this.context = context;
        this.warnings = warnings;
    }

    /** How many wait for their outcome. */
    int open() {
        return open;
    }

    void take(HttpExchange exchange, byte[] body) {
        Submission submission;
        try {
            submission = ResourceCodec.readSubmission(body);
        } catch (InvalidSubmissionException e) {
            warn(exchange, e.getMessage());
            exchange.answer(HttpStatus.BAD_REQUEST, ResourceCodec.writeErrors(e.errors()));
            return;
        } catch (ProtocolException e) {
            warn(exchange, e.getMessage());
            exchange.answer(HttpStatus.BAD_REQUEST, ErrorJson.of(e.getMessage()));
            return;
        }
        if (open >= MAX_PENDING_SUBMISSIONS) {
            exchange.unavailable(ErrorJson.BUSY);
            return;
        }
        open++;
        consensus
                .propose(submission)
                .whenComplete(
                        (outcome, failure) ->
                                context.runOnContext(
                                        run -> decided(exchange, submission, outcome, failure)));
    }

    private void decided(
            HttpExchange exchange,
            Submission submission,
            SubmissionOutcome outcome,
            Throwable failure) {
        open--;
        if (failure != null) {
            Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
            String reason =
                    cause instanceof NoQuorumException ? cause.getMessage() : cause.toString();
            warnings.warn(
                    "submission " + submission.id() + " is not known to be accepted: " + reason);
            exchange.unavailable(ErrorJson.NO_QUORUM);
        } else if (outcome instanceof SubmissionOutcome.Rejected invalid) {
            warn(exchange, invalid.errors().get(0).toString());
            exchange.answer(HttpStatus.BAD_REQUEST, ResourceCodec.writeErrors(invalid.errors()));
        } else if (outcome instanceof SubmissionOutcome.Accepted accepted) {
            exchange.answer(HttpStatus.OK, ResourceCodec.write(accepted.position()));
        }
    }

    private void warn(HttpExchange exchange, String reason) {
        warnings.warn(
                "a submission from "
                        + exchange.request().remoteAddress()
                        + " is refused: "
                        + reason);
    }
}
