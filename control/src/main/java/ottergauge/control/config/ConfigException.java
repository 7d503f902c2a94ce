// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.config;

import java.util.List;
import java.util.stream.Collectors;
import ottergauge.resources.FieldError;

/** Thrown for an invalid configuration; contains all its errors. */
public final class ConfigException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient List<FieldError> errors;

    ConfigException(List<FieldError> errors) {
        super(errors.stream().map(FieldError::toString).collect(Collectors.joining("; ")));
        this.errors = List.copyOf(errors);
    }

    /** All errors of the configuration. */
    public List<FieldError> errors() {
        return errors;
    }
}
