// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Collects the errors of a message, up to {@link #MAX_ERRORS}; further errors are dropped. */
final class FieldErrors {

    static final int MAX_ERRORS = 100;

    private final List<FieldError> errors = new ArrayList<>();

    void add(String key, Object value, String allowed) {
        if (errors.size() < MAX_ERRORS) {
            errors.add(new FieldError(key, String.valueOf(value), allowed));
        }
    }

    int size() {
        return errors.size();
    }

    boolean isEmpty() {
        return errors.isEmpty();
    }

    Optional<FieldError> first() {
        return errors.stream().findFirst();
    }

    List<FieldError> all() {
        return List.copyOf(errors);
    }
}
