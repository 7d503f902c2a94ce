// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.health;

import java.util.Comparator;
import java.util.SplittableRandom;
import java.util.TreeSet;
import ottergauge.decision.api.EndpointState;
import ottergauge.decision.balancing.ServerSubset;
import ottergauge.decision.load.LoadSourceSelector;
import ottergauge.decision.model.Instants;
import ottergauge.decision.model.Server;
import ottergauge.decision.model.ServerHealth;
import ottergauge.decision.request.ArrivalInterval;

/**
 * Ejects servers that fail, for a span that doubles with each ejection. Instants are microseconds.
 * See docs/design.md, "Ejection".
 */
public final class OutlierDetector {

    // A server that fails at once looks idle and draws sends: so many errors in a row eject it.
    private static final int MAX_CONSECUTIVE_ERRORS = 2;
    // Where reports tell the load, an ejection for an error begins at this step: a trial costs a
    // request.
    private static final int ERROR_EJECTION_STEP = 2;
    private static final long FIRST_EJECTION_MICROS = 100_000;
    private static final int MAX_EJECTION_DOUBLINGS = 6;
    // With what chance a live server may be taken for a dead one.
    private static final double MAX_FALSE_ALARM_RATIO = 0.005;
    private static final double CONNECT_FAILURE_SMOOTHING_RATIO = 0.02;

    private final ServerSubset subset;
    private final LoadSourceSelector loadSource;
    private final ArrivalInterval arrivals;
    private final SplittableRandom random;
    // Listed servers that are ejected, the first to come back first.
    private final TreeSet<Server> ejected =
            new TreeSet<>(
                    Comparator.comparingLong((Server server) -> server.health().ejectedUntil())
                            .thenComparingLong(Server::id));
    private double connectFailureRatio;

    /** Creates a detector that has ejected no server. */
    public OutlierDetector(
            ServerSubset subset,
            LoadSourceSelector loadSource,
            ArrivalInterval arrivals,
            SplittableRandom random) {
        this.subset = subset;
        this.loadSource = loadSource;
        this.arrivals = arrivals;
        this.random = random;
    }

    /**
     * Whether half of the subset is ejected: that is no single server's fault, and the rest could
     * not carry the load.
     */
    public boolean isHalfEjected(long now) {
        while (!ejected.isEmpty() && !ejected.first().health().isEjected(now)) {
            ejected.pollFirst();
        }
        return 2 * ejected.size() >= subset.size();
    }

    /** Takes a response of a server: it can be reached. */
    public void recordResponse(Server server, long now) {
        if (server.health().isUnreachable()) {
            // It has most likely restarted.
            server.slowStart().restart(now);
        }
        server.health().recordResponse(now);
    }

    /** Takes a served attempt. */
    public void recordSuccess(Server server, long now) {
        recordResponse(server, now);
        ServerHealth health = server.health();
        // A server that fails some of its requests would begin anew after each that it serves.
        health.setEjections(loadSource.usesReports() ? health.ejections() / 2 : 0);
        health.clearErrors();
    }

    /** Takes a response that says that the server failed. */
    public void recordError(Server server, long now) {
        // A node that seldom sends to a server would learn of its failing too late by more errors.
        int maxErrors = loadSource.usesReports() ? 1 : MAX_CONSECUTIVE_ERRORS;
        ServerHealth health = server.health();
        if (health.countError() >= maxErrors && !isHalfEjected(now)) {
            if (loadSource.usesReports()) {
                health.setEjections(Math.max(health.ejections(), ERROR_EJECTION_STEP));
            }
            eject(server, now);
        }
    }

    /**
     * Takes a broken connection. A process that dies breaks all of them and takes no more: one
     * break proves no death, and random breaks would eject every server in turn.
     */
    public void recordReset(Server server, long now) {
        if (loadSource.usesReports() || server.health().countError() >= MAX_CONSECUTIVE_ERRORS) {
            recordConnectFailure(server, now);
        }
    }

    /**
     * Takes a connection that could not be made. Where connections fail at all servers some of a
     * live one fail in a row, so that the server is taken for dead only where chance would hardly
     * do it.
     */
    public void recordConnectFailure(Server server, long now) {
        int failures = server.health().countConnectFailure();
        if (Math.pow(connectFailureRatio, failures) < MAX_FALSE_ALARM_RATIO) {
            server.health().markUnreachable();
        }
        eject(server, now);
    }

    /** Counts an attempt at any server, and whether its connection could not be made. */
    public void countAttempt(boolean connectFailed) {
        connectFailureRatio +=
                CONNECT_FAILURE_SMOOTHING_RATIO * ((connectFailed ? 1 : 0) - connectFailureRatio);
    }

    /** Ejects a server that isn't ejected, and chooses the subset anew if it can be replaced. */
    public void eject(Server server, long now) {
        ServerHealth health = server.health();
        if (health.isEjected(now)) {
            return;
        }
        long span = ejectionSpan(health.ejections());
        ejectUntil(server, now + span / 2 + random.nextLong(span), now);
        health.setEjections(Math.min(MAX_EJECTION_DOUBLINGS, health.ejections() + 1));
        if (subset.isProper()) {
            subset.choose(now);
        }
    }

    // An ejection shorter than the span between two sends to a server is none. The span is by what
    // arrives: by what is served, ejections would grow with what they keep from being served.
    private long ejectionSpan(int ejections) {
        double first =
                loadSource.usesReports()
                        ? Math.max(FIRST_EJECTION_MICROS, arrivals.meanMicros() * subset.size())
                        : FIRST_EJECTION_MICROS;
        double longest = FIRST_EJECTION_MICROS << MAX_EJECTION_DOUBLINGS;
        return (long) Math.min(longest, first * (1 << ejections));
    }

    /** Ejects a server for at least this span, as one that rejects a request asks for. */
    public void ejectFor(Server server, long span, long now) {
        ejectUntil(server, Math.max(server.health().ejectedUntil(), now + span), now);
    }

    private void ejectUntil(Server server, long until, long now) {
        ejected.remove(server);
        server.health().setEjectedUntil(until);
        if (until > now && server.state() != EndpointState.REMOVED) {
            ejected.add(server);
        }
    }

    /** Forgets the failures of a server's earlier incarnation. */
    public void reset(Server server) {
        ejected.remove(server);
        server.health().setEjections(0);
        server.health().setEjectedUntil(Instants.NEVER);
    }

    /** Forgets a server that is listed no more. */
    public void remove(Server server) {
        ejected.remove(server);
    }
}
