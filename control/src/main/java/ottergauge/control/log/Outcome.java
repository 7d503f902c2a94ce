// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import java.util.List;
import ottergauge.resources.FieldError;
import ottergauge.resources.LogPosition;

/** What became of a submission. */
public sealed interface Outcome {

    /** It is the change of this version. */
    record Accepted(LogPosition position) implements Outcome {}

    /** Nothing of it was taken. */
    record Invalid(List<FieldError> faults) implements Outcome {}
}
