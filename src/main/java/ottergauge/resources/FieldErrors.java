// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Gathers what is wrong with a message, up to a bound. */
final class FieldErrors {

    static final int MOST_FAULTS = 100;

    private final List<FieldError> faults = new ArrayList<>();

    void add(String key, Object value, String allowed) {
        if (faults.size() < MOST_FAULTS) {
            faults.add(new FieldError(key, String.valueOf(value), allowed));
        }
    }

    int size() {
        return faults.size();
    }

    boolean isEmpty() {
        return faults.isEmpty();
    }

    Optional<FieldError> first() {
        return faults.stream().findFirst();
    }

    List<FieldError> all() {
        return List.copyOf(faults);
    }
}
