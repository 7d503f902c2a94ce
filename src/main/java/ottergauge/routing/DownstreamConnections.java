// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import ottergauge.protocol.Content;
import ottergauge.routing.Effect.CloseClient;
import ottergauge.routing.Effect.RelayResponse;
import ottergauge.routing.Effect.ReportInvalidRequest;
import ottergauge.routing.Effect.Respond;

/** The clients' connections and what each is doing. */
final class DownstreamConnections {

    // A body that stands still for so long does not come any more.
    private static final long PATIENCE = 2_000_000;
    // A head may take 2 s. A bad client is owed an end within 3 s of connecting, and a sweep may
    // come late.
    private static final long HEAD_WITHIN = 2_600_000;
    // What is left for a first body when its head took all of that.
    private static final long BODY_BEGINS_WITHIN = 350_000;
    // Bytes a second that a body comes with on the whole: a quarter of the slowest that is
    // promised. At a
    // byte now and then a connection would be held for as long as its client likes.
    private static final long LEAST_RATE = 16_000;
    // An answer that flows: the system's own buffers take so much that a slow reader's stand still
    // for long.
    private static final long FLOW_PATIENCE = 10_000_000;
    // A client that is going to ask again does so sooner as a rule; connections kept for nothing
    // only grow.
    private static final long IDLE_FOR = 5_000_000;
    // What connects sends its request at once: this young, a connection is not idle but on its way.
    private static final long FRESH = 250_000;
    // A line for each bad request would let its sender fill the log and the node's time.
    private static final int LINES_A_SECOND = 5;

    private enum Stage {
        IDLE,
        READING,
        OPEN,
        ANSWERING
    }

    private static final class Client {
        Stage stage = Stage.IDLE;
        long since;

        /** When it is closed, should it stay as it is; what is open has its own time. */
        long closeAt;

        boolean asked;
        long moved;
        InFlightRequest exchange;
    }

    private final Consumer<Effect> effects;
    private final Map<Long, Client> clients = new LinkedHashMap<>();

    /** In the order in which they became idle. */
    private final Map<Long, Client> idle = new LinkedHashMap<>();

    private long linesSince;
    private int lines;
    private int linesLeftOut;
    private boolean stopping;

    DownstreamConnections(Consumer<Effect> effects) {
        this.effects = effects;
    }

    int open() {
        return clients.size();
    }

    void connected(long now, long number) {
        Client client = new Client();
        clients.put(number, client);
        rest(now, number, client, HEAD_WITHIN);
    }

    private void rest(long now, long number, Client client, long patience) {
        client.stage = Stage.IDLE;
        client.since = now;
        client.closeAt = now + patience;
        idle.put(number, client);
    }

    private void busy(long number, Client client, Stage stage) {
        client.stage = stage;
        idle.remove(number);
    }

    void headBegan(long now, long number) {
        Client client = clients.get(number);
        if (client != null && client.stage == Stage.IDLE) {
            busy(number, client, Stage.READING);
            if (client.asked) {
                client.closeAt = now + HEAD_WITHIN;
            }
        }
    }

    /** A body gets on, from the client or to it. */
    void moved(long now, long number, long bytes) {
        Client client = clients.get(number);
        if (client == null) {
            return;
        }
        client.moved += bytes;
        if (client.stage == Stage.READING) {
            client.closeAt =
                    Math.min(
                            now + PATIENCE,
                            client.since + PATIENCE + client.moved * 1_000_000 / LEAST_RATE);
        } else if (client.stage == Stage.ANSWERING) {
            client.closeAt = now + (client.exchange == null ? PATIENCE : FLOW_PATIENCE);
        }
    }

    void began(long now, long number) {
        Client client = clients.get(number);
        if (client != null) {
            busy(number, client, Stage.READING);
            client.since = now;
            client.moved = 0;
            client.closeAt =
                    client.asked
                            ? now + PATIENCE
                            : Math.max(client.closeAt, now + BODY_BEGINS_WITHIN);
        }
    }

    void took(long number, InFlightRequest exchange) {
        Client client = clients.get(number);
        if (client != null) {
            // What flows goes on being read.
            busy(number, client, exchange.whole ? Stage.OPEN : Stage.READING);
            client.exchange = exchange;
        }
    }

    /** The last byte of a request that flows has come; gives back the request. */
    InFlightRequest readWhole(long number) {
        Client client = clients.get(number);
        if (client == null || client.exchange == null) {
            return null;
        }
        busy(number, client, Stage.OPEN);
        return client.exchange;
    }

    /** An answer begins to be passed on; false if the client has gone. */
    boolean passOn(long now, long number, long connection) {
        Client client = clients.get(number);
        if (client == null) {
            return false;
        }
        busy(number, client, Stage.ANSWERING);
        client.asked = true;
        client.closeAt = now + FLOW_PATIENCE;
        effects.accept(new RelayResponse(number, connection, stopping));
        return true;
    }

    /** The answer that was passed on is whole: the rest is the client's connection's. */
    void passedOn(long now, long number) {
        Client client = clients.get(number);
        if (client != null) {
            client.exchange = null;
            client.closeAt = now + FLOW_PATIENCE;
        }
    }

    /**
     * Ends a connection whose answer can't be finished: short of its length, so that the client can
     * tell.
     */
    void cutShort(long number) {
        if (clients.containsKey(number)) {
            close(number, CloseReason.CUT_SHORT);
        }
    }

    /** Takes back the request that a connection carries; null if it carries none. */
    InFlightRequest withdraw(long number) {
        Client client = clients.get(number);
        InFlightRequest exchange = client == null ? null : client.exchange;
        if (exchange != null) {
            client.exchange = null;
        }
        return exchange;
    }

    /** Answers what the connection carries, if it is still there. */
    void respond(
            long now, long number, int status, long retryAfter, Content content, boolean close) {
        Client client = clients.get(number);
        if (client != null) {
            // What is answered before it has come whole has no end that a next request could
            // follow.
            boolean half = client.stage == Stage.READING && client.exchange != null;
            busy(number, client, Stage.ANSWERING);
            client.exchange = null;
            client.asked = true;
            client.closeAt = now + PATIENCE;
            effects.accept(
                    new Respond(number, status, retryAfter, content, close || half || stopping));
        }
    }

    /** Answers what is no request that the node takes; the connection ends with that. */
    void reject(long now, long number, int status, String why) {
        if (now - linesSince >= 1_000_000) {
            linesSince = now;
            lines = 0;
        }
        if (lines++ < LINES_A_SECOND) {
            effects.accept(new ReportInvalidRequest(number, status, why, linesLeftOut));
            linesLeftOut = 0;
        } else {
            linesLeftOut++;
        }
        respond(now, number, status, 0, Content.NONE, true);
    }

    void answerWritten(long now, long number) {
        Client client = clients.get(number);
        if (client != null && client.stage == Stage.ANSWERING) {
            rest(now, number, client, IDLE_FOR);
        }
    }

    /** Forgets a connection and gives back the request that it leaves unanswered, or null. */
    InFlightRequest closed(long number) {
        idle.remove(number);
        Client client = clients.remove(number);
        return client == null ? null : client.exchange;
    }

    /** From now on every answer is the last of its connection. */
    void stop() {
        stopping = true;
    }

    void closeIdle(CloseReason reason) {
        new ArrayList<>(idle.keySet()).forEach(number -> close(number, reason));
    }

    /**
     * Closes what has been silent, or has not got on with its request or its answer, for too long.
     */
    void sweep(long now) {
        for (Map.Entry<Long, Client> entry : new ArrayList<>(clients.entrySet())) {
            Client client = entry.getValue();
            if (client.stage != Stage.OPEN && now >= client.closeAt) {
                if (client.exchange != null) {
                    // Its end comes back as an event, and with it what becomes of the request.
                    client.closeAt = Long.MAX_VALUE;
                    effects.accept(
                            new CloseClient(
                                    entry.getKey(),
                                    client.stage == Stage.READING
                                            ? CloseReason.SLOW_REQUEST
                                            : CloseReason.SLOW_ANSWER));
                    continue;
                }
                close(
                        entry.getKey(),
                        switch (client.stage) {
                            case READING -> CloseReason.SLOW_REQUEST;
                            case ANSWERING -> CloseReason.SLOW_ANSWER;
                            default -> client.asked ? CloseReason.IDLE : CloseReason.SILENT;
                        });
            }
        }
    }

    /**
     * Closes the connection that has been idle for longest, if for long enough; false if there is
     * none.
     */
    boolean closeOneIdle(long now, boolean alsoFresh) {
        Iterator<Map.Entry<Long, Client>> oldest = idle.entrySet().iterator();
        if (!oldest.hasNext()) {
            return false;
        }
        Map.Entry<Long, Client> entry = oldest.next();
        if (!alsoFresh && now - entry.getValue().since < FRESH) {
            return false;
        }
        close(entry.getKey(), CloseReason.SOCKETS_SHORT);
        return true;
    }

    private void close(long number, CloseReason reason) {
        idle.remove(number);
        clients.remove(number);
        effects.accept(new CloseClient(number, reason));
    }
}
