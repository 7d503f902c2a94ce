// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import ottergauge.decision.api.RequestClass;
import ottergauge.resources.LogPosition;

/**
 * Counts since the start of the process. Each request that was taken ends under one count at the
 * most. A class keeps its counts for as long as the settings name it; what ends after that is no
 * longer pending, and else not counted.
 */
final class Metrics {

    private static final class Counts {
        long completed;
        long rejected;
        long failed;
    }

    private Map<String, Counts> byClass = new LinkedHashMap<>();
    private long upstreamRequests;
    private long pending;
    private Optional<LogPosition> version = Optional.empty();

    Metrics(List<RequestClass> classes) {
        takeOver(classes);
    }

    /** These classes are in force from now on. */
    void takeOver(List<RequestClass> classes) {
        Map<String, Counts> before = byClass;
        byClass = new LinkedHashMap<>();
        for (RequestClass type : classes) {
            byClass.put(type.name(), before.getOrDefault(type.name(), new Counts()));
        }
    }

    /** What all nodes share has reached this version here. */
    void reached(LogPosition position) {
        version = Optional.of(position);
    }

    void taken() {
        pending++;
    }

    void completed(RequestClass type) {
        pending--;
        counts(type).completed++;
    }

    void rejected(RequestClass type) {
        pending--;
        counts(type).rejected++;
    }

    void failed(RequestClass type) {
        pending--;
        counts(type).failed++;
    }

    private Counts counts(RequestClass type) {
        return byClass.getOrDefault(type.name(), new Counts());
    }

    /** Its client has left: whatever became of it reached nobody. */
    void abandoned() {
        pending--;
    }

    /** The last byte of an attempt is written to a server. */
    void attempted() {
        upstreamRequests++;
    }

    String text(int members, int unavailable) {
        StringBuilder text = new StringBuilder();
        byClass.forEach(
                (name, counts) -> {
                    line(text, "completed." + name, counts.completed);
                    line(text, "rejected." + name, counts.rejected);
                    line(text, "failed." + name, counts.failed);
                });
        line(text, "upstream_requests", upstreamRequests);
        line(text, "pending", pending);
        version.ifPresent(position -> line(text, "state_version", position.version()));
        line(text, "members", members);
        line(text, "members_unavailable", unavailable);
        return text.toString();
    }

    private static void line(StringBuilder text, String name, long value) {
        text.append("balancer.").append(name).append('=').append(value).append('\n');
    }
}
