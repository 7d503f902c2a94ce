// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import ottergauge.resources.FieldError;
import ottergauge.resources.LogPosition;

import java.util.List;

/** What became of a submission. */
public sealed interface SubmissionOutcome {

    /** It is the change of this version. */
    record Accepted(LogPosition position) implements SubmissionOutcome {}

    /** Nothing of it was taken. */
    record Rejected(List<FieldError> faults) implements SubmissionOutcome {}
}
