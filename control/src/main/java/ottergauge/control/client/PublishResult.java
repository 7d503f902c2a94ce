// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.client;

import java.util.List;
import ottergauge.resources.FieldError;
import ottergauge.resources.LogPosition;

/** What became of a submission that was published. */
public sealed interface PublishResult {

    /** It can't be lost any more. */
    record Accepted(LogPosition position) implements PublishResult {}

    /** Nothing of it is taken, and won't be. */
    record Rejected(List<FieldError> errors) implements PublishResult {}

    /**
     * It was not accepted in time, or is not known to be; it may be published again under the same
     * id.
     */
    record Unknown(String reason) implements PublishResult {}
}
