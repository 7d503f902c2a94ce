// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import java.util.List;
import ottergauge.resources.FieldError;
import ottergauge.resources.LogPosition;

/** The outcome of a submission. It is the same in each process that applies the log. */
public sealed interface SubmissionOutcome {

    /**
     * The submission became a change.
     *
     * @param position the position of that change
     */
    record Accepted(LogPosition position) implements SubmissionOutcome {}

    /**
     * The submission is invalid and was not applied.
     *
     * @param errors the errors of the submission, at least 1 and at most 100
     */
    record Rejected(List<FieldError> errors) implements SubmissionOutcome {}
}
