// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import java.util.List;
import ottergauge.resources.FieldError;
import ottergauge.resources.LogPosition;

/** The outcome of a submission: the same at each process that applies the log. */
public sealed interface SubmissionOutcome {

    /**
     * The submission became a change.
     *
     * @param position the version of that change
     */
    record Accepted(LogPosition position) implements SubmissionOutcome {}

    /**
     * The submission is invalid and nothing of it was applied.
     *
     * @param errors what is wrong with it, at least one and at most 100
     */
    record Rejected(List<FieldError> errors) implements SubmissionOutcome {}
}
