// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import ottergauge.decision.api.RequestClass;

/** The classes of requests that are in force, by name. */
final class RequestClasses {

    /** A class, and its number for the decisions for as long as these classes are in force. */
    record Numbered(int number, RequestClass type) {}

    private final Map<String, Numbered> byName = new HashMap<>();
    private final long longestDeadline;

    RequestClasses(List<RequestClass> classes) {
        for (int number = 0; number < classes.size(); number++) {
            RequestClass type = classes.get(number);
            byName.put(type.name(), new Numbered(number, type));
        }
        longestDeadline = classes.stream().mapToLong(RequestClass::deadline).max().orElse(0);
    }

    Optional<Numbered> named(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    /** The longest time that a client waits which does not say how long it does. */
    long longestDeadline() {
        return longestDeadline;
    }
}
