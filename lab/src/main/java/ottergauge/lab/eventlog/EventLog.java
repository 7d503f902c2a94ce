// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.eventlog;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What the stand-ins and clients observed, in order; the rule checker and the statistics use
 * nothing else, and nodes do not write here. Times are microseconds from the start of the load.
 */
public final class EventLog {

    /**
     * A planned request with all attempts of its client; retries do not count as further requests.
     */
    public static final class ClientRequest {
        public final int number;
        public final int requestClass;
        public final int tenant;
        public final long intendedAt;
        public final long work;
        public final List<ClientAttempt> clientAttempts = new ArrayList<>(1);

        /** Creates a request; {@code intendedAt} and {@code work} are microseconds. */
        public ClientRequest(int number, int requestClass, int tenant, long intendedAt, long work) {
            this.number = number;
            this.requestClass = requestClass;
            this.tenant = tenant;
            this.intendedAt = intendedAt;
            this.work = work;
        }

        /** When the first successful response arrived within an attempt's timeout, or -1. */
        public long servedAt() {
            return clientAttempts.stream()
                    .filter(t -> t.status == 200 && t.answeredAt <= t.sentAt + t.timeout)
                    .mapToLong(t -> t.answeredAt)
                    .min()
                    .orElse(-1);
        }
    }

    /** Values of {@link ClientAttempt#status} that are not HTTP status codes. */
    public static final int PENDING = 0;

    public static final int CONNECTION_LOST = -1;
    public static final int NO_CONNECTION = -2;

    /** One attempt of a client, sent to one node under an id of its own. */
    public static final class ClientAttempt {
        public final ClientRequest request;
        public final String id;
        public final int node;

        /** How long the client waits for the response, in microseconds. */
        public final long timeout;

        /**
         * When the client wrote the request to its connection (the last one, if it sent the request
         * again on a new connection), or -1 if it has not.
         */
        public long sentAt = -1;

        /**
         * When the last response arrived, the connection ended before the timeout, or no connection
         * could be opened; -1 if none of these has happened.
         */
        public long answeredAt = -1;

        /** When the client closed its connection before its timeout, or -1 if it did not. */
        public long clientClosedAt = -1;

        /** When the client's timeout expired without a response, or -1 if it did not. */
        public long timedOutAt = -1;

        public int status = PENDING;

        /** The response's Retry-After in microseconds, or -1. */
        public long retryAfter = -1;

        public int responses;

        /** Whether the response body is the one that a server created for this attempt. */
        public boolean bodyMatches = true;

        /** Whether this was the first request on its connection. */
        public boolean firstOnConnection;

        public final List<ServerAttempt> serverAttempts = new ArrayList<>(1);

        /** Creates an attempt of a request at a node; {@code timeout} is microseconds. */
        public ClientAttempt(ClientRequest request, String id, int node, long timeout) {
            this.request = request;
            this.id = id;
            this.node = node;
            this.timeout = timeout;
        }
    }

    /** One request that a node sent to a server and that arrived there completely. */
    public static final class ServerAttempt {
        public final ClientAttempt clientAttempt;
        public final int node;
        public final String server;
        public final long firstByteAt;
        public final long at;
        public long beganAt = -1;
        public long endedAt = -1;
        public String end = "open";

        /** Creates an attempt that reached a server; times are microseconds. */
        public ServerAttempt(
                ClientAttempt clientAttempt, int node, String server, long firstByteAt, long at) {
            this.clientAttempt = clientAttempt;
            this.node = node;
            this.server = server;
            this.firstByteAt = firstByteAt;
            this.at = at;
        }
    }

    /**
     * A side effect that a request had at a server; {@code key} identifies what must not happen
     * twice.
     */
    public record Effect(long at, String key, String group, String server, ServerAttempt attempt) {}

    /**
     * Load that nodes cause on servers and on discovery in addition to the requests that servers
     * process. {@code TURNED_AWAY} is a request that a server rejected because it was full or had
     * too many connections.
     */
    public enum Cost {
        PROBE,
        HANDSHAKE,
        LIST_CALL,
        LIST_CALL_FAILED,
        TURNED_AWAY
    }

    /** A cost that a node caused at a server or at discovery; {@code at} is microseconds. */
    public record CostEntry(long at, Cost cost, int node, String target) {}

    /** Something that happened to a process: a fault, a start, a change of state. */
    public record Event(long at, String who, String what) {}

    /** The lifetime of a server under one id. */
    public static final class ServerLifetime {
        public final String server;
        public final String zone;
        public final long startedAt;
        public final boolean cold;

        /** When each node learned that this server drains, by the number of the node. */
        public final Map<Integer, Long> drainKnownAt = new LinkedHashMap<>();

        public long collapsedAt = -1;

        /** Creates the lifetime of a server that starts at {@code startedAt}, in microseconds. */
        public ServerLifetime(String server, String zone, long startedAt, boolean cold) {
            this.server = server;
            this.zone = zone;
            this.startedAt = startedAt;
            this.cold = cold;
        }
    }

    public final List<ClientRequest> requests = new ArrayList<>();
    public final Map<String, ClientAttempt> clientAttempts = new LinkedHashMap<>();
    public final List<ServerAttempt> serverAttempts = new ArrayList<>();
    public final List<Effect> effects = new ArrayList<>();
    public final List<CostEntry> costs = new ArrayList<>();
    public final List<Event> events = new ArrayList<>();
    public final Map<String, ServerLifetime> lifetimes = new LinkedHashMap<>();

    /** Requests that arrived at a server with an id that no client has sent. */
    public final List<Event> unknownRequests = new ArrayList<>();

    public void addEvent(long at, String who, String what) {
        events.add(new Event(at, who, what));
    }

    public void addCost(long at, Cost cost, int node, String target) {
        costs.add(new CostEntry(at, cost, node, target));
    }
}
