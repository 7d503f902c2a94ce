// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.client;

import java.util.List;
import ottergauge.resources.FieldError;
import ottergauge.resources.LogPosition;

/** The result of publishing a submission. */
public sealed interface PublishResult {

    /** The submission is committed as the change of this position. */
    record Accepted(LogPosition position) implements PublishResult {}

    /** The submission is invalid and was not applied; retrying it is of no use. */
    record Rejected(List<FieldError> errors) implements PublishResult {}

    /**
     * The submission was not committed in time, or is not known to be; it may be retried under the
     * same id.
     *
     * @param reason the last failure, in one line
     */
    record Unknown(String reason) implements PublishResult {}
}
