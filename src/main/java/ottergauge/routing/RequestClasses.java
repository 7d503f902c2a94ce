// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import ottergauge.decision.api.RequestClass;

/** The effective request classes, by name. */
final class RequestClasses {

    /** A class and its index, which identifies it to the decision module. */
    record Indexed(int index, RequestClass requestClass) {}

    private final Map<String, Indexed> byName = new HashMap<>();
    private final long longestDeadline;

    RequestClasses(List<RequestClass> classes) {
        for (int index = 0; index < classes.size(); index++) {
            RequestClass requestClass = classes.get(index);
            byName.put(requestClass.name(), new Indexed(index, requestClass));
        }
        longestDeadline = classes.stream().mapToLong(RequestClass::deadline).max().orElse(0);
    }

    /** The class of this name; empty if there is none. */
    Optional<Indexed> find(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    /** The longest deadline of a class, in microseconds. */
    long longestDeadline() {
        return longestDeadline;
    }
}
