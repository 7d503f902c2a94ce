// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.eventlog;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What the stand-ins and clients saw, in the order in which they saw it: the only thing that the
 * checker and the figures go by. No node writes here. Instants are microseconds from the start of
 * the load.
 */
public final class EventLog {

    /** A request as it was drawn: its first try and all further ones count as one. */
    public static final class ClientRequest {
        public final int number;
        public final int requestClass;
        public final int tenant;
        public final long intendedAt;
        public final long work;
        public final List<ClientAttempt> clientAttempts = new ArrayList<>(1);

        /** Records a request; the instant and the work are microseconds. */
        public ClientRequest(int number, int requestClass, int tenant, long intendedAt, long work) {
            this.number = number;
            this.requestClass = requestClass;
            this.tenant = tenant;
            this.intendedAt = intendedAt;
            this.work = work;
        }

        /** The instant at which an answer came in a try's time that served it, or -1. */
        public long servedAt() {
            return clientAttempts.stream()
                    .filter(t -> t.status == 200 && t.answeredAt <= t.sentAt + t.timeout)
                    .mapToLong(t -> t.answeredAt)
                    .min()
                    .orElse(-1);
        }
    }

    /** How a try ended where no status says it. */
    public static final int PENDING = 0;

    public static final int CONNECTION_LOST = -1;
    public static final int NO_CONNECTION = -2;

    /** One request on the wire, with an id of its own. */
    public static final class ClientAttempt {
        public final ClientRequest request;
        public final String id;
        public final int node;

        /** How long the client waits for its answer. */
        public final long timeout;

        /** When the last byte was written to the node, or -1. */
        public long sentAt = -1;

        /** When its last answer came, or its connection ended; -1 if neither has. */
        public long answeredAt = -1;

        /** When the client closed its connection, or -1. */
        public long clientClosedAt = -1;

        /** When the client stopped waiting, or -1. */
        public long timedOutAt = -1;

        public int status = PENDING;

        /** The advice on when to come back, or -1. */
        public long retryAfter = -1;

        public int responses;

        /** Whether the body is what a server made for this try. */
        public boolean bodyMatches = true;

        /** Whether it was the first that its connection carried. */
        public boolean firstOnConnection;

        public final List<ServerAttempt> serverAttempts = new ArrayList<>(1);

        /** Records a try of a request at a node; {@code timeout} is microseconds. */
        public ClientAttempt(ClientRequest request, String id, int node, long timeout) {
            this.request = request;
            this.id = id;
            this.node = node;
            this.timeout = timeout;
        }
    }

    /** One request that reached a server whole. */
    public static final class ServerAttempt {
        public final ClientAttempt clientAttempt;
        public final int node;
        public final String server;
        public final long firstByteAt;
        public final long at;
        public long beganAt = -1;
        public long endedAt = -1;
        public String end = "open";

        /** Records an attempt that reached a server; instants are microseconds. */
        public ServerAttempt(
                ClientAttempt clientAttempt, int node, String server, long firstByteAt, long at) {
            this.clientAttempt = clientAttempt;
            this.node = node;
            this.server = server;
            this.firstByteAt = firstByteAt;
            this.at = at;
        }
    }

    /** An effect that a request had at a server, by what must not happen twice. */
    public record Effect(long at, String key, String group, String server, ServerAttempt attempt) {}

    /** What costs a server or discovery something beside requests. */
    public enum Cost {
        PROBE,
        HANDSHAKE,
        LIST_CALL,
        LIST_CALL_FAILED,
        TURNED_AWAY
    }

    /** A cost that a node caused at a server or at discovery, at an instant in microseconds. */
    public record CostEntry(long at, Cost cost, int node, String target) {}

    /** Something that happened to a process: a fault, a start, a state. */
    public record Event(long at, String who, String what) {}

    /** A server's time under one id: when it began to drain for each node, when it went. */
    public static final class ServerLifetime {
        public final String server;
        public final String zone;
        public final long startedAt;
        public final boolean cold;

        /** When each node was told that it drains. */
        public final Map<Integer, Long> drainKnownAt = new LinkedHashMap<>();

        public long collapsedAt = -1;

        /** Records a start of a server at an instant in microseconds. */
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

    /** Attempts whose id no client sent: a server took something that nobody asked for. */
    public final List<Event> unknownRequests = new ArrayList<>();

    public void addEvent(long at, String who, String what) {
        events.add(new Event(at, who, what));
    }

    public void addCost(long at, Cost cost, int node, String target) {
        costs.add(new CostEntry(at, cost, node, target));
    }
}
