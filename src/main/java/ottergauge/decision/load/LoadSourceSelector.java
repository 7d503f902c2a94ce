// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.load;

import ottergauge.decision.api.DecisionSettings;
import ottergauge.decision.api.LoadReport;
import ottergauge.decision.limits.ReportFreshness;
import ottergauge.decision.model.Server;
import ottergauge.decision.ring.ConsistentHashRing;

/**
 * Selects the {@link LoadSource}. Active load probes are used if servers report their load and
 * probes are allowed and affordable. Otherwise passive load reports are used once one has come, and
 * this node's own attempts until then. If servers don't report their load, or their reports have
 * proved stale, only this node's own attempts are used. See docs/design.md, "Active load probes",
 * "Passive load reports" and "stale reports".
 */
public final class LoadSourceSelector {

    private final ConsistentHashRing<Server> ring;
    private final ReportFreshness freshness = new ReportFreshness();
    private LoadSource source = LoadSource.OWN_ATTEMPTS;
    private boolean serversReport;

    /** Creates a selector for the servers of a ring. */
    public LoadSourceSelector(ConsistentHashRing<Server> ring) {
        this.ring = ring;
    }

    /** Applies new settings. */
    public void applySettings(DecisionSettings next) {
        serversReport = next.reportsLoad();
        selectProbes(
                next.limits().probesAllowed()
                        && next.reportsLoad()
                        && ProbeBudget.affordsProbes(next.costs())
                        && !freshness.isStale());
    }

    /** Returns the current load source. */
    public LoadSource source() {
        return source;
    }

    /** Returns whether servers are probed for their load. */
    public boolean usesProbes() {
        return source == LoadSource.ACTIVE_PROBES;
    }

    /** Returns whether the load is taken from the reports that come with responses. */
    public boolean usesReports() {
        return source == LoadSource.PASSIVE_REPORTS;
    }

    /**
     * Returns whether load probes or load reports are used, so that the load from other nodes is
     * known too.
     */
    public boolean knowsLoad() {
        return source != LoadSource.OWN_ATTEMPTS;
    }

    /**
     * Records that a load report has come. Unless probes are used, switches to passive load
     * reports, or to this node's own attempts if the reports have proved stale.
     */
    void reportReceived() {
        if (source != LoadSource.ACTIVE_PROBES) {
            source =
                    serversReport && !freshness.isStale()
                            ? LoadSource.PASSIVE_REPORTS
                            : LoadSource.OWN_ATTEMPTS;
        }
    }

    /**
     * Compares the load reports of two successive probes of a server.
     *
     * @param gapMicros time between the two reports
     * @param serviceMicros mean service time of a request
     */
    void compareProbes(LoadReport before, LoadReport now, long gapMicros, double serviceMicros) {
        freshness.recordPair(before, now, gapMicros, serviceMicros);
    }

    /** Stops sending load probes if their reports have proved stale. */
    void dropStaleProbes() {
        selectProbes(usesProbes() && !freshness.isStale());
    }

    private void selectProbes(boolean probes) {
        if (probes) {
            source = LoadSource.ACTIVE_PROBES;
        } else if (source == LoadSource.ACTIVE_PROBES) {
            ring.forEach(server -> server.load().replaceWith(server.outstandingCount()));
            source = LoadSource.OWN_ATTEMPTS;
        } else if (!serversReport) {
            source = LoadSource.OWN_ATTEMPTS;
        }
    }
}
