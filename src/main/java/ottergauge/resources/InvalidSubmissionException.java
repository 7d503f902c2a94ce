// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import java.util.List;
import ottergauge.protocol.ProtocolException;

/**
 * A submission that can be parsed, but not accepted: carries all that is wrong with it, up to a
 * bound.
 */
public final class InvalidSubmissionException extends ProtocolException {

    private static final long serialVersionUID = 1L;

    private final transient List<FieldError> faults;

    InvalidSubmissionException(List<FieldError> faults) {
        super(faults.get(0).toString());
        this.faults = faults;
    }

    /** All that is wrong, in the order of the message. */
    public List<FieldError> faults() {
        return faults;
    }
}
