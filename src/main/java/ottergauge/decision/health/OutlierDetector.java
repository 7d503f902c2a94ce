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
 * Ejects servers that fail, for a time span that doubles with each ejection. Instants are in
 * microseconds. See docs/design.md, "Ejection".
 */
public final class OutlierDetector {

    // A server that fails requests immediately looks idle and attracts more of them. This number of
    // consecutive errors ejects it.
    private static final int MAX_CONSECUTIVE_ERRORS = 2;
    // With passive load reports, the time span of an ejection for an error is doubled at least this
    // many times, because the first request after each ejection may fail.
    private static final int ERROR_EJECTION_STEP = 2;
    private static final long FIRST_EJECTION_MICROS = 100_000;
    private static final int MAX_EJECTION_DOUBLINGS = 6;
    // Maximum probability of marking a reachable server as unreachable because of random connection
    // failures.
    private static final double MAX_FALSE_ALARM_RATIO = 0.005;
    private static final double CONNECT_FAILURE_SMOOTHING_RATIO = 0.02;

    private final ServerSubset subset;
    private final LoadSourceSelector loadSource;
    private final ArrivalInterval arrivals;
    private final SplittableRandom random;
    // Listed servers that are ejected, ordered by the end of their ejection.
    private final TreeSet<Server> ejected =
            new TreeSet<>(
                    Comparator.comparingLong((Server server) -> server.health().ejectedUntil())
                            .thenComparingLong(Server::id));
    private double connectFailureRatio;

    /** Creates a detector without any ejected servers. */
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
     * Returns whether the number of ejected servers is at least half the size of the subset. In
     * that case the cause is probably not in single servers, and too few servers would be left to
     * carry the load. No further server is then ejected for errors or missed responses.
     */
    public boolean isHalfEjected(long now) {
        while (!ejected.isEmpty() && !ejected.first().health().isEjected(now)) {
            ejected.pollFirst();
        }
        return 2 * ejected.size() >= subset.size();
    }

    /** Records a response of a server, which proves that it is reachable. */
    public void recordResponse(Server server, long now) {
        if (server.health().isUnreachable()) {
            // The server has most likely restarted.
            server.slowStart().restart(now);
        }
        server.health().recordResponse(now);
    }

    /** Records a successful attempt. */
    public void recordSuccess(Server server, long now) {
        recordResponse(server, now);
        ServerHealth health = server.health();
        // With passive load reports, a success only halves the number of ejections. If it reset the
        // number, the ejections of a server that fails only some of its requests would always be
        // short.
        health.setEjections(loadSource.usesReports() ? health.ejections() / 2 : 0);
        health.clearErrors();
    }

    /** Records an error response. */
    public void recordError(Server server, long now) {
        // With passive load reports, a node may send to a server so seldom that a second error
        // would come too late. A single error therefore ejects the server.
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
     * Records a connection that was reset. When a process dies, all of its connections break and it
     * accepts no new ones. A single reset therefore doesn't prove that the process died. If it
     * ejected the server, random resets would eject one server after another. With passive load
     * reports, a single reset is treated as a failed connection, as a single error ejects the
     * server there.
     */
    public void recordReset(Server server, long now) {
        if (loadSource.usesReports() || server.health().countError() >= MAX_CONSECUTIVE_ERRORS) {
            recordConnectFailure(server, now);
        }
    }

    /**
     * Records a connection that could not be established, and ejects the server. If connections to
     * all servers fail at random, a reachable server has consecutive failures too. The server is
     * therefore marked as unreachable only if that many consecutive failures are unlikely to be
     * random.
     */
    public void recordConnectFailure(Server server, long now) {
        int failures = server.health().countConnectFailure();
        if (Math.pow(connectFailureRatio, failures) < MAX_FALSE_ALARM_RATIO) {
            server.health().markUnreachable();
        }
        eject(server, now);
    }

    /** Counts an attempt at any server, and whether its connection failed. */
    public void countAttempt(boolean connectFailed) {
        connectFailureRatio +=
                CONNECT_FAILURE_SMOOTHING_RATIO * ((connectFailed ? 1 : 0) - connectFailureRatio);
    }

    /**
     * Ejects a server that isn't ejected yet, and recomputes the subset if listed servers outside
     * of it can replace this one.
     */
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

    // An ejection shorter than the time between two attempts at a server has no effect. With
    // passive load reports that time may be long, so it is the minimum length of the first
    // ejection. It is computed from the arrival rate, because ejections lower the rate of
    // successful requests: computed from that rate, each ejection would make the next one longer.
    private long ejectionSpan(int ejections) {
        double first =
                loadSource.usesReports()
                        ? Math.max(FIRST_EJECTION_MICROS, arrivals.meanMicros() * subset.size())
                        : FIRST_EJECTION_MICROS;
        double longest = FIRST_EJECTION_MICROS << MAX_EJECTION_DOUBLINGS;
        return (long) Math.min(longest, first * (1 << ejections));
    }

    /** Ejects a server that rejected a request, for at least this time span. */
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

    /** Clears the ejection state of a server that has restarted. */
    public void reset(Server server) {
        ejected.remove(server);
        server.health().setEjections(0);
        server.health().setEjectedUntil(Instants.NEVER);
    }

    /** Removes a server that is no longer listed from the ejected servers. */
    public void remove(Server server) {
        ejected.remove(server);
    }
}
