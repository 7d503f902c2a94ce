// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import ottergauge.decision.api.EndpointState;
import ottergauge.protocol.Address;
import ottergauge.protocol.DiscoveredEndpoint;
import ottergauge.protocol.EndpointList;
import ottergauge.routing.Effect.CloseUpstream;
import ottergauge.routing.Effect.ConnectUpstream;
import ottergauge.routing.Effect.Forward;
import ottergauge.routing.Effect.ForwardStream;
import ottergauge.routing.Effect.ProbeLoad;
import ottergauge.routing.Effect.ReadPendingInput;
import ottergauge.routing.Effect.StartTimer;

/**
 * The connections to all servers: each carries one job at a time, is kept while idle, and a job
 * that finds none idle waits for a new one or for the next that comes free. A job that has a
 * connection begins only once all that has come by then is read, and the router has looked whether
 * it still may.
 */
final class UpstreamPool {

    // Of the time after which a server closes an idle connection: sooner, so that none is closed
    // under a
    // request that is being written, which would end as a reset.
    private static final double IDLE_PART = 0.75;
    // A connection whose first segment is lost comes up after 1 s, or after 3 s if the second one
    // is lost
    // too (RFC 6298). Jobs wait by far less; once up it serves the next ones: its handshake is not
    // in vain.
    private static final long UP_WITHIN = 3_200_000;
    // At a server that is cut off none comes up: with so many on their way others are given up by
    // then.
    private static final int MOST_LATE = 2;

    private final ConnectTimeoutEstimator patience;
    private long connectTimeout;
    private long idleFor;
    private final Consumer<Effect> effects;
    private final Consumer<Attempt> carried;
    private final Map<Long, ServerPool> byServer = new HashMap<>();
    private final Map<Long, PooledConnection> connections = new HashMap<>();

    /** In the order in which they became idle. */
    private final Set<PooledConnection> idle = new LinkedHashSet<>();

    private long lastNumber;

    /** {@code carried} hears of each job whose first byte is written. */
    UpstreamPool(
            long connectTimeout, long serverIdle, Consumer<Effect> effects, Consumer<Attempt> carried) {
        this.carried = carried;
        patience = new ConnectTimeoutEstimator(connectTimeout);
        this.effects = effects;
        limit(connectTimeout, serverIdle);
    }

    /** How long a connection may take to come up, and after which time servers close idle ones. */
    void limit(long longestConnect, long serverIdle) {
        connectTimeout = longestConnect;
        idleFor = (long) (serverIdle * IDLE_PART);
        patience.atMost(longestConnect);
    }

    int open() {
        return connections.size();
    }

    boolean knows(long server) {
        return byServer.containsKey(server);
    }

    /** Whether a job at this server would need a new connection. */
    boolean needsConnection(long server) {
        return byServer.get(server).idle.isEmpty();
    }

    /**
     * Takes a list; gives back the jobs that were waiting for servers which drain, are gone or
     * moved.
     */
    List<Attempt> follow(EndpointList list) {
        List<Attempt> withdrawn = new ArrayList<>();
        Set<Long> named = new HashSet<>();
        for (DiscoveredEndpoint host : list.endpoints()) {
            long server = EndpointIds.of(host.name());
            named.add(server);
            if (host.state() == EndpointState.REMOVED) {
                remove(server, withdrawn);
            } else {
                update(server, host, withdrawn);
            }
        }
        if (list.complete()) {
            new ArrayList<>(byServer.keySet())
                    .stream()
                            .filter(server -> !named.contains(server))
                            .sorted()
                            .forEach(server -> remove(server, withdrawn));
        }
        return withdrawn;
    }

    private void update(long server, DiscoveredEndpoint host, List<Attempt> withdrawn) {
        Address dial = host.address();
        ServerPool upstream = byServer.computeIfAbsent(server, id -> new ServerPool(id, dial));
        upstream.usable = host.state() == EndpointState.UP;
        // What was chosen before a start was told was chosen for a server that is warm.
        boolean another = !upstream.dial.equals(dial) || host.startedAtMs() > upstream.bornMs;
        if (!upstream.usable || another) {
            withdraw(upstream, withdrawn);
        }
        if (another) {
            upstream.listed = false;
            ServerPool next = new ServerPool(server, dial);
            next.usable = upstream.usable;
            byServer.put(server, next);
        }
        byServer.get(server).bornMs = host.startedAtMs();
    }

    private void remove(long server, List<Attempt> withdrawn) {
        ServerPool upstream = byServer.remove(server);
        if (upstream != null) {
            upstream.listed = false;
            withdraw(upstream, withdrawn);
        }
    }

    // A waiting job would be written when its connection is up, perhaps later than a drain allows.
    private void withdraw(ServerPool upstream, List<Attempt> withdrawn) {
        withdrawn.addAll(upstream.waiting);
        upstream.waiting.clear();
        while (!upstream.idle.isEmpty()) {
            close(upstream.idle.getFirst(), CloseReason.DELISTED);
        }
    }

    /** Gives a job an idle connection, or lets it wait for one. */
    void start(long now, Attempt job) {
        ServerPool upstream = byServer.get(job.server);
        PooledConnection kept = upstream.idle.pollFirst();
        if (kept != null) {
            idle.remove(kept);
            assign(kept, job);
            return;
        }
        upstream.waiting.add(job);
        if (upstream.connecting < upstream.waiting.size()) {
            PooledConnection connection = new PooledConnection(++lastNumber, upstream, now);
            connections.put(connection.number, connection);
            upstream.connecting++;
            boolean keeps = upstream.connecting + upstream.late <= MOST_LATE;
            effects.accept(
                    new ConnectUpstream(
                            connection.number,
                            upstream.dial,
                            keeps ? Math.max(UP_WITHIN, connectTimeout) : patience.limit()));
            effects.accept(
                    new StartTimer(patience.limit(), new Timer.ConnectTimeout(connection.number)));
        }
    }

    private void assign(PooledConnection connection, Attempt job) {
        connection.job = job;
        job.connection = connection;
        effects.accept(new ReadPendingInput(connection.number));
    }

    /** The job that this connection is about to carry, if it is still so. */
    Optional<Attempt> aboutToBegin(long number) {
        return carriedBy(number).filter(job -> !job.begun);
    }

    /**
     * Whether a job's server is listed, takes what is new, and is the one that the job was chosen
     * for.
     */
    boolean mayCarry(Attempt job) {
        return job.connection.upstream.listed && job.connection.upstream.usable;
    }

    /** Begins a job: the one place where the first byte of anything goes to a server. */
    void begin(long now, Attempt job) {
        job.begun = true;
        long number = job.connection.number;
        if (job.isProbe()) {
            effects.accept(new ProbeLoad(number));
        } else if (job.exchange.flows) {
            effects.accept(
                    new ForwardStream(
                            number, job.exchange.request, job.dueAt - now, job.exchange.client));
        } else {
            effects.accept(new Forward(number, job.exchange.request, job.dueAt - now));
        }
        carried.accept(job);
    }

    /**
     * Ends a job that is not waited for any more: what carries it is closed, as the protocol says.
     * A connection that has nothing of it yet serves the next one.
     */
    void giveUp(long now, Attempt job, CloseReason reason) {
        if (job.begun) {
            close(job.connection, reason);
        } else if (job.connection != null) {
            job.connection.job = null;
            rest(now, job.connection);
        } else if (knows(job.server)) {
            byServer.get(job.server).waiting.remove(job);
        }
    }

    void connected(long now, long number) {
        PooledConnection connection = connections.get(number);
        if (connection == null) {
            return;
        }
        if (connection.late) {
            connection.upstream.late--;
        } else {
            patience.connected(now - connection.openedAt);
            connection.upstream.connecting--;
        }
        connection.late = false;
        connection.up = true;
        rest(now, connection);
    }

    /** Gives back the job that has no connection to wait for any more. */
    Optional<Attempt> connectFailed(long now, long number) {
        PooledConnection connection = connections.remove(number);
        if (connection == null) {
            return Optional.empty();
        }
        if (connection.late) {
            connection.upstream.late--;
            return Optional.empty();
        }
        return notWaitedFor(now, connection);
    }

    /** A connection has not come up in time: gives back the job that waits for it no longer. */
    Optional<Attempt> connectDue(long now, long number) {
        PooledConnection connection = connections.get(number);
        if (connection == null || connection.up || connection.late) {
            return Optional.empty();
        }
        connection.late = true;
        connection.upstream.late++;
        return notWaitedFor(now, connection);
    }

    /** Whether several connections to a server are late at once. */
    boolean severalLate(long server) {
        return knows(server) && byServer.get(server).late >= MOST_LATE;
    }

    private Optional<Attempt> notWaitedFor(long now, PooledConnection connection) {
        patience.failed(now - connection.openedAt);
        ServerPool upstream = connection.upstream;
        upstream.connecting--;
        return upstream.waiting.size() > upstream.connecting
                ? Optional.of(upstream.waiting.poll())
                : Optional.empty();
    }

    /** Notes that a job's last byte is written, and gives it back. */
    Optional<Attempt> written(long number) {
        Optional<Attempt> job = carriedBy(number);
        job.ifPresent(each -> each.written = true);
        return job;
    }

    /** The job that a connection carries. */
    Optional<Attempt> carriedBy(long number) {
        PooledConnection connection = connections.get(number);
        return connection == null ? Optional.empty() : Optional.ofNullable(connection.job);
    }

    /** Frees a connection whose answer has come and gives back the job that it carried. */
    Optional<Attempt> answered(long now, long number, boolean reusable) {
        PooledConnection connection = connections.get(number);
        if (connection == null || connection.job == null) {
            return Optional.empty();
        }
        Attempt job = connection.job;
        connection.job = null;
        connection.kept = true;
        if (reusable && job.written) {
            rest(now, connection);
        } else {
            close(connection, CloseReason.NOT_REUSABLE);
        }
        return Optional.of(job);
    }

    /** Forgets a connection that has ended and gives back the job that it carried. */
    Optional<Attempt> closed(long number) {
        PooledConnection connection = connections.remove(number);
        if (connection == null) {
            return Optional.empty();
        }
        forgetIdle(connection);
        Optional<Attempt> job = Optional.ofNullable(connection.job);
        job.ifPresent(each -> connection.job = null);
        return job;
    }

    private void rest(long now, PooledConnection connection) {
        ServerPool upstream = connection.upstream;
        Attempt next = upstream.waiting.poll();
        if (next != null) {
            assign(connection, next);
        } else if (upstream.listed && upstream.usable) {
            connection.idleSince = now;
            upstream.idle.addFirst(connection);
            idle.add(connection);
        } else {
            close(connection, CloseReason.DELISTED);
        }
    }

    /** Closes the connections that have been idle for too long. */
    void sweep(long now) {
        for (PooledConnection connection : new ArrayList<>(idle)) {
            if (now - connection.idleSince >= idleFor) {
                close(connection, CloseReason.IDLE);
            }
        }
    }

    /** Closes the connection that has been idle for longest; false if there is none. */
    boolean closeOneIdle() {
        if (idle.isEmpty()) {
            return false;
        }
        close(idle.iterator().next(), CloseReason.SOCKETS_SHORT);
        return true;
    }

    private void forgetIdle(PooledConnection connection) {
        if (idle.remove(connection)) {
            connection.upstream.idle.remove(connection);
        }
    }

    private void close(PooledConnection connection, CloseReason reason) {
        connections.remove(connection.number);
        forgetIdle(connection);
        effects.accept(new CloseUpstream(connection.number, reason));
    }
}
