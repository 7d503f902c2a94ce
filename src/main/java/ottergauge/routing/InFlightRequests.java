// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import ottergauge.decision.api.RequestClass;
import ottergauge.routing.Effect.ClaimTraceId;
import ottergauge.routing.Effect.ReleaseTraceId;
import ottergauge.routing.Event.ClientRequest;

/**
 * The table of in-flight requests. It remembers the trace ids of requests that may have been
 * executed for a while after their end, so that a copy of one is not executed again.
 */
final class InFlightRequests {

    // Longer than any deadline, so that a copy of a request that a server may still be executing is
    // recognized.
    private static final long REMEMBERED_MICROS = 10_000_000;
    private static final int MAX_REMEMBERED = 16_384;

    private final Map<String, InFlightRequest> byId = new HashMap<>();
    private final Map<String, InFlightRequest> byTraceId = new HashMap<>();

    /** Until when the hashes of trace ids are remembered, in the order of their expiry. */
    private final Map<Long, Long> remembered = new LinkedHashMap<>();

    private final boolean shared;
    private final Consumer<Effect> effects;
    private long lastId;

    /** {@code shared} is whether the node may have other processes, which must know the ids. */
    InFlightRequests(boolean shared, Consumer<Effect> effects) {
        this.shared = shared;
        this.effects = effects;
    }

    /**
     * Whether a request with this trace id is in flight, or has ended recently and must not be
     * executed again.
     */
    boolean containsTraceId(long now, String traceId) {
        forgetExpired(now);
        return byTraceId.containsKey(traceId) || remembered.containsKey(TraceIdHash.of(traceId));
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
        String traceId = content.fields().traceId();
        byTraceId.put(traceId, request);
        if (shared) {
            effects.accept(new ClaimTraceId(request.id, TraceIdHash.of(traceId)));
        }
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

    /**
     * Removes a request if it is finished, none of its attempts is outstanding and no response to
     * it is being relayed.
     */
    void removeIfDone(long now, InFlightRequest request) {
        if (!request.finished || !request.outstanding.isEmpty() || request.relaying != null) {
            return;
        }
        String traceId = request.content.fields().traceId();
        if (byId.remove(request.id) == null) {
            return;
        }
        byTraceId.remove(traceId);
        if (request.mayHaveRun && !mayRunAgain(request)) {
            remember(now, TraceIdHash.of(traceId));
        } else {
            release(TraceIdHash.of(traceId));
        }
    }

    private void release(long hash) {
        if (shared) {
            effects.accept(new ReleaseTraceId(hash));
        }
    }

    // Servers recognize another request with the idempotency key of one that was served.
    private static boolean mayRunAgain(InFlightRequest request) {
        return switch (request.requestClass.idempotency()) {
            case IDEMPOTENT -> true;
            case KEYED -> request.served;
            case NON_IDEMPOTENT -> false;
        };
    }

    private void remember(long now, long hash) {
        remembered.remove(hash);
        remembered.put(hash, now + REMEMBERED_MICROS);
        if (remembered.size() > MAX_REMEMBERED) {
            Iterator<Long> oldest = remembered.keySet().iterator();
            release(oldest.next());
            oldest.remove();
        }
    }

    /** Forgets the trace ids that have been remembered for long enough. */
    void forgetExpired(long now) {
        Iterator<Map.Entry<Long, Long>> oldest = remembered.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<Long, Long> entry = oldest.next();
            if (entry.getValue() > now) {
                return;
            }
            release(entry.getKey());
            oldest.remove();
        }
    }
}
