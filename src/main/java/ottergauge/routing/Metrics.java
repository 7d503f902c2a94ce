// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import ottergauge.decision.api.RequestClass;
import ottergauge.resources.LogPosition;

/**
 * Counters since the start of the process. Each accepted request is counted under at most one
 * outcome. A class has its counters for as long as the settings define it. A request that ends
 * after its class was removed only leaves the count of pending requests.
 */
final class Metrics {

    private static final class Counters {
        long completed;
        long rejected;
        long failed;
    }

    private Map<String, Counters> byClass = new LinkedHashMap<>();
    private long upstreamRequests;
    private long pending;
    private long relayed;
    private long relaysTruncated;
    private long relaying;
    private Optional<LogPosition> stateVersion = Optional.empty();

    Metrics(List<RequestClass> classes) {
        setClasses(classes);
    }

    /** Replaces the classes; those that stay keep their counters. */
    void setClasses(List<RequestClass> classes) {
        Map<String, Counters> before = byClass;
        byClass = new LinkedHashMap<>();
        for (RequestClass requestClass : classes) {
            String name = requestClass.name();
            byClass.put(name, before.getOrDefault(name, new Counters()));
        }
    }

    /** A version of the state that all nodes share is effective. */
    void stateReached(LogPosition version) {
        stateVersion = Optional.of(version);
    }

    void requestAccepted() {
        pending++;
    }

    void completed(RequestClass requestClass) {
        pending--;
        counters(requestClass).completed++;
    }

    void rejected(RequestClass requestClass) {
        pending--;
        counters(requestClass).rejected++;
    }

    void failed(RequestClass requestClass) {
        pending--;
        counters(requestClass).failed++;
    }

    private Counters counters(RequestClass requestClass) {
        return byClass.getOrDefault(requestClass.name(), new Counters());
    }

    /** A client disconnected before its response; the request is counted under no outcome. */
    void clientDisconnected() {
        pending--;
    }

    /** The last byte of an attempt is written. */
    void attemptSent() {
        upstreamRequests++;
    }

    /** A response begins to be relayed as it arrives. */
    void relayStarted() {
        relayed++;
        relaying++;
    }

    /** A response is no longer relayed; {@code complete} is whether its client got all of it. */
    void relayEnded(boolean complete) {
        relaying--;
        relaysTruncated += complete ? 0 : 1;
    }

    /** All metrics, one per line; docs/operations.md defines their names. */
    String text(int servers, int unavailableServers) {
        StringBuilder text = new StringBuilder();
        byClass.forEach(
                (name, counters) -> {
                    line(text, "completed." + name, counters.completed);
                    line(text, "rejected." + name, counters.rejected);
                    line(text, "failed." + name, counters.failed);
                });
        line(text, "upstream_requests", upstreamRequests);
        line(text, "pending", pending);
        line(text, "responses_relayed", relayed);
        line(text, "responses_truncated", relaysTruncated);
        line(text, "responses_relaying", relaying);
        stateVersion.ifPresent(position -> line(text, "state_version", position.version()));
        line(text, "members", servers);
        line(text, "members_unavailable", unavailableServers);
        return text.toString();
    }

    private static void line(StringBuilder text, String name, long value) {
        text.append("balancer.").append(name).append('=').append(value).append('\n');
    }
}
