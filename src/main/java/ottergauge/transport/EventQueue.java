// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import ottergauge.routing.Event;

/**
 * Handles events one at a time: an event that an effect causes immediately is queued until the
 * current event has been handled.
 */
final class EventQueue {

    private final Deque<Event> events = new ArrayDeque<>();
    private final Consumer<Event> handler;
    private boolean handling;

    EventQueue(Consumer<Event> handler) {
        this.handler = handler;
    }

    void take(Event event) {
        events.add(event);
        if (handling) {
            return;
        }
        handling = true;
        try {
            for (Event next = events.poll(); next != null; next = events.poll()) {
                handler.accept(next);
            }
        } finally {
            handling = false;
        }
    }
}
