// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import java.util.List;
import ottergauge.protocol.ProtocolException;

/** A submission that is well-formed JSON, but can't be accepted; carries all its errors. */
public final class InvalidSubmissionException extends ProtocolException {

    private static final long serialVersionUID = 1L;

    private final transient List<FieldError> errors;

    InvalidSubmissionException(List<FieldError> errors) {
        super(errors.get(0).toString());
        this.errors = errors;
    }

    /** The errors, in the order of the message; {@link FieldErrors#MAX_ERRORS} at most. */
    public List<FieldError> errors() {
        return errors;
    }
}
