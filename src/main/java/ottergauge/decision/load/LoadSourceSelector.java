// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.load;

import ottergauge.decision.api.DecisionSettings;
import ottergauge.decision.api.LoadReport;
import ottergauge.decision.limits.ReportFreshness;
import ottergauge.decision.model.Server;
import ottergauge.decision.ring.ConsistentHashRing;

/**
 * Selects the {@link LoadSource}: active probes where they are allowed, affordable and fresh, else
 * passive reports once one has come, else this node's own attempts. See docs/design.md, "Active
 * load probes", "Passive load reports" and "stale reports".
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

    /** Takes other settings. */
    public void applySettings(DecisionSettings next) {
        serversReport = next.reportsLoad();
        selectProbes(
                next.limits().probesAllowed()
                        && next.reportsLoad()
                        && ProbeBudget.affordsProbes(next.costs())
                        && !freshness.isStale());
    }

    /** Returns the present source. */
    public LoadSource source() {
        return source;
    }

    /** Whether servers are probed for their load. */
    public boolean usesProbes() {
        return source == LoadSource.ACTIVE_PROBES;
    }

    /** Whether the reports that come with responses tell the load. */
    public boolean usesReports() {
        return source == LoadSource.PASSIVE_REPORTS;
    }

    /** Whether the load of servers is known beyond this node's own attempts. */
    public boolean knowsLoad() {
        return source != LoadSource.OWN_ATTEMPTS;
    }

    /** Notes that a report has come. */
    void reportReceived() {
        if (source != LoadSource.ACTIVE_PROBES) {
            source =
                    serversReport && !freshness.isStale()
                            ? LoadSource.PASSIVE_REPORTS
                            : LoadSource.OWN_ATTEMPTS;
        }
    }

    /**
     * Compares the reports of two successive probes of a server.
     *
     * @param gapMicros span between them
     * @param serviceMicros what a request takes
     */
    void compareProbes(LoadReport before, LoadReport now, long gapMicros, double serviceMicros) {
        freshness.recordPair(before, now, gapMicros, serviceMicros);
    }

    /** Stops to probe if reports have turned out to be stale. */
    void dropStaleProbes() {
        selectProbes(usesProbes() && !freshness.isStale());
    }

    private void selectProbes(boolean probes) {
        if (probes) {
            source = LoadSource.ACTIVE_PROBES;
        } else if (source == LoadSource.ACTIVE_PROBES) {
            ring.forEach(server -> server.load().replaceBy(server.outstandingCount()));
            source = LoadSource.OWN_ATTEMPTS;
        } else if (!serversReport) {
            source = LoadSource.OWN_ATTEMPTS;
        }
    }
}
