// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import io.vertx.core.Context;
import java.util.concurrent.CompletionException;
import ottergauge.control.consensus.Consensus;
import ottergauge.control.consensus.NoQuorumException;
import ottergauge.control.log.Outcome;
import ottergauge.protocol.ProtocolException;
import ottergauge.resources.InvalidSubmissionException;
import ottergauge.resources.ResourceCodec;
import ottergauge.resources.Submission;

/** The submissions that are on their way: bounded by number, each answered with its outcome. */
final class Publishing {

    private static final int MOST_OPEN = 256;

    private final Consensus consensus;
    private final Context context;
    private final LimitedLog warnings;
    private int open;

    Publishing(Consensus consensus, Context context, LimitedLog warnings) {
        this.consensus = consensus;
        this.context = context;
        this.warnings = warnings;
    }

    /** How many wait for their outcome. */
    int open() {
        return open;
    }

    void take(Exchange exchange, byte[] body) {
        Submission submission;
        try {
            submission = ResourceCodec.readSubmission(body);
        } catch (InvalidSubmissionException e) {
            warn(exchange, e.getMessage());
            exchange.answer(Status.BAD_REQUEST, ResourceCodec.writeErrors(e.errors()));
            return;
        } catch (ProtocolException e) {
            warn(exchange, e.getMessage());
            exchange.answer(Status.BAD_REQUEST, ErrorJson.of(e.getMessage()));
            return;
        }
        if (open >= MOST_OPEN) {
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
            Exchange exchange, Submission submission, Outcome outcome, Throwable failure) {
        open--;
        if (failure != null) {
            Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
            String why = cause instanceof NoQuorumException ? cause.getMessage() : cause.toString();
            warnings.warn("submission " + submission.id() + " is not known to be accepted: " + why);
            exchange.unavailable(ErrorJson.NO_QUORUM);
        } else if (outcome instanceof Outcome.Invalid invalid) {
            warn(exchange, invalid.faults().get(0).toString());
            exchange.answer(Status.BAD_REQUEST, ResourceCodec.writeErrors(invalid.faults()));
        } else if (outcome instanceof Outcome.Accepted accepted) {
            exchange.answer(Status.OK, ResourceCodec.write(accepted.position()));
        }
    }

    private void warn(Exchange exchange, String why) {
        warnings.warn(
                "a submission from " + exchange.request().remoteAddress() + " is refused: " + why);
    }
}
