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

    private final transient List<FieldError> errors;

    InvalidSubmissionException(List<FieldError> errors) {
        super(errors.get(0).toString());
        this.errors = errors;
    }

    /** All that is wrong, in the order of the message. */
    public List<FieldError> errors() {
        return errors;
    }
}
