// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import ottergauge.protocol.Content;
import ottergauge.routing.Effect.CloseClient;
import ottergauge.routing.Effect.NotTaken;
import ottergauge.routing.Effect.Respond;

/** The clients' connections and what each is doing. */
final class Clients {

    private static final class Client {
        long idleSince;
        /** When the head of the request came that is still being read, or -1. */
        long readingSince = -1;
        Exchange exchange;
        boolean answering;

        boolean idle() {
            return readingSince < 0 && exchange == null && !answering;
        }
    }

    private final long idleFor;
    private final long requestWithin;
    private final Consumer<Effect> effects;
    private final Map<Long, Client> clients = new LinkedHashMap<>();
    private boolean stopping;

    Clients(long idleFor, long requestWithin, Consumer<Effect> effects) {
        this.idleFor = idleFor;
        this.requestWithin = requestWithin;
        this.effects = effects;
    }

    int open() {
        return clients.size();
    }

    void connected(long now, long number) {
        Client client = new Client();
        client.idleSince = now;
        clients.put(number, client);
    }

    void began(long now, long number) {
        Client client = clients.get(number);
        if (client != null) {
            client.readingSince = now;
        }
    }

    /** When the request that has now been read began to come. */
    long beganAt(long number, long otherwise) {
        Client client = clients.get(number);
        return client != null && client.readingSince >= 0 ? client.readingSince : otherwise;
    }

    void took(long number, Exchange exchange) {
        Client client = clients.get(number);
        if (client != null) {
            client.readingSince = -1;
            client.exchange = exchange;
        }
    }

    /** Answers what the connection carries, if it is still there. */
    void respond(long number, int status, long retryAfter, Content content, boolean close) {
        Client client = clients.get(number);
        if (client != null) {
            client.readingSince = -1;
            client.exchange = null;
            client.answering = true;
            effects.accept(new Respond(number, status, retryAfter, content, close || stopping));
        }
    }

    /** Answers what is no request that the node takes. */
    void reject(long number, int status, String why, boolean close) {
        effects.accept(new NotTaken(number, status, why));
        respond(number, status, 0, Content.NONE, close);
    }

    void answerWritten(long now, long number) {
        Client client = clients.get(number);
        if (client != null) {
            client.answering = false;
            client.idleSince = now;
        }
    }

    /** Forgets a connection and gives back the request that it leaves unanswered, or null. */
    Exchange closed(long number) {
        Client client = clients.remove(number);
        return client == null ? null : client.exchange;
    }

    /** From now on every answer is the last of its connection. */
    void stop() {
        stopping = true;
    }

    void closeIdle(CloseReason reason) {
        closeIf(Client::idle, reason);
    }

    /** Closes what has been idle, or begun and not finished a request, for too long. */
    void sweep(long now) {
        closeIf(client -> client.idle() && now - client.idleSince >= idleFor, CloseReason.IDLE);
        closeIf(client -> client.readingSince >= 0 && now - client.readingSince >= requestWithin,
            CloseReason.SLOW_REQUEST);
    }

    /** Closes the connection that has been idle for longest; false if there is none. */
    boolean closeOneIdle() {
        Map.Entry<Long, Client> oldest = null;
        for (Map.Entry<Long, Client> entry : clients.entrySet()) {
            if (entry.getValue().idle()
                && (oldest == null || entry.getValue().idleSince < oldest.getValue().idleSince)) {
                oldest = entry;
            }
        }
        if (oldest == null) {
            return false;
        }
        close(oldest.getKey(), CloseReason.SOCKETS_SHORT);
        return true;
    }

    private void closeIf(Predicate<Client> which, CloseReason reason) {
        for (Map.Entry<Long, Client> entry : new ArrayList<>(clients.entrySet())) {
            if (which.test(entry.getValue())) {
                close(entry.getKey(), reason);
            }
        }
    }

    private void close(long number, CloseReason reason) {
        clients.remove(number);
        effects.accept(new CloseClient(number, reason));
    }
}
