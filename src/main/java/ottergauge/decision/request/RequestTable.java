// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.request;

import java.util.HashMap;
import java.util.Map;
import ottergauge.decision.model.Attempt;
import ottergauge.decision.model.Request;

/** The requests that have no final response yet or still have outstanding attempts. */
public final class RequestTable {

    private final Map<String, Request> byId = new HashMap<>();
    private long nextNumber;

    /** Returns the sequence number of the next request. */
    public long nextNumber() {
        return nextNumber++;
    }

    /** Adds a request. */
    public void add(Request request) {
        byId.put(request.id(), request);
    }

    /** Returns the request with this id, or null. */
    public Request find(String id) {
        return byId.get(id);
    }

    /** Returns the outstanding attempt with this request id and attempt number, or null. */
    public Attempt findAttempt(String id, int attempt) {
        Request request = byId.get(id);
        return request == null ? null : request.outstandingAttempt(attempt);
    }

    /** Removes a request if it is complete and none of its attempts is outstanding. */
    public void evictIfDone(Request request) {
        if (request.isComplete() && request.outstanding().isEmpty()) {
            byId.remove(request.id());
        }
    }
}
