// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import java.util.List;
import ottergauge.protocol.ProtocolException;

/** Thrown for a submission that is well-formed JSON but invalid; contains all its errors. */
public final class InvalidSubmissionException extends ProtocolException {

    private static final long serialVersionUID = 1L;

    private final transient List<FieldError> errors;

    InvalidSubmissionException(List<FieldError> errors) {
        super(errors.get(0).toString());
        this.errors = errors;
    }

    /**
     * The errors in the order of the submission's fields; at most {@link FieldErrors#MAX_ERRORS}.
     */
    public List<FieldError> errors() {
        return errors;
    }
}
