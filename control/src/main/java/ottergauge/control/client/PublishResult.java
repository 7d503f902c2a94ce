// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.client;

import java.util.List;
import ottergauge.resources.FieldError;
import ottergauge.resources.LogPosition;

/** The result of publishing a submission. */
public sealed interface PublishResult {

    /** The submission was committed as the change with this position. */
    record Accepted(LogPosition position) implements PublishResult {}

    /** The submission is invalid and was not applied. A retry would be rejected again. */
    record Rejected(List<FieldError> errors) implements PublishResult {}

    /**
     * The submission was not committed in time, or it is not known whether it was committed. It may
     * be retried with the same id.
     *
     * @param reason the last failure, in one line
     */
    record Unknown(String reason) implements PublishResult {}
}
