// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.model;

import ottergauge.decision.api.LoadReport;

/** The load probe that is in flight to a server, and the load report of the last one. */
public final class ServerProbe {

    private boolean inFlight;
    private long sentAt = Instants.NEVER;
    private LoadReport lastReport = LoadReport.NONE;

    /** Returns whether a probe has been sent and has not ended. */
    public boolean isInFlight() {
        return inFlight;
    }

    /** Returns the instant at which the last probe was sent. */
    public long sentAt() {
        return sentAt;
    }

    /** Returns the load report of the last successful probe. */
    public LoadReport lastReport() {
        return lastReport;
    }

    /** Records that a probe is sent. */
    public void start(long now) {
        inFlight = true;
        sentAt = now;
    }

    /** Records that the probe has ended. */
    public void finish() {
        inFlight = false;
    }

    /** Records the load report of a successful probe. */
    public void recordReport(LoadReport report) {
        lastReport = report;
    }
}
