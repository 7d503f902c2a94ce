// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ottergauge.decision.api.RequestClass;
import ottergauge.routing.Event.ClientRequest;

/** The table of in-flight requests. */
final class InFlightRequests {

    private final Map<String, InFlightRequest> byId = new HashMap<>();
    private final Map<String, InFlightRequest> byTraceId = new HashMap<>();
    private long lastId;

    /** Whether a request with this trace id is in flight. */
    boolean containsTraceId(String traceId) {
        return byTraceId.containsKey(traceId);
    }

    /** Adds a request under a new id. Times and durations are in microseconds. */
    InFlightRequest add(
            long client,
            RequestClass requestClass,
            ClientRequest content,
            long deadline,
            long timeout,
            boolean streamed) {
        InFlightRequest request =
                new InFlightRequest(
                        Long.toString(++lastId),
                        client,
                        requestClass,
                        content,
                        deadline,
                        timeout,
                        streamed);
        byId.put(request.id, request);
        byTraceId.put(content.fields().traceId(), request);
        return request;
    }

    /** The request with this id; null if it is no longer in flight. */
    InFlightRequest get(String id) {
        return byId.get(id);
    }

    /** The requests that are not finished, in the order in which they were accepted. */
    List<InFlightRequest> unfinished() {
        return byId.values().stream()
                .filter(request -> !request.finished)
                .sorted(Comparator.comparingLong(request -> Long.parseLong(request.id)))
                .toList();
    }

    /** Removes a request if it is finished and none of its attempts is outstanding. */
    void removeIfDone(InFlightRequest request) {
        if (request.finished && request.outstanding.isEmpty()) {
            byId.remove(request.id);
            byTraceId.remove(request.content.fields().traceId());
        }
    }
}
