// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.model;

import ottergauge.decision.api.LoadReport;

/** The probe that is in flight at a server, and the report of the last one. */
public final class ServerProbe {

    private boolean inFlight;
    private long sentAt = Instants.NEVER;
    private LoadReport lastReport = LoadReport.NONE;

    /** Whether a probe has been sent and not ended. */
    public boolean isInFlight() {
        return inFlight;
    }

    /** Returns the instant at which the last probe was sent. */
    public long sentAt() {
        return sentAt;
    }

    /** Returns the report of the last probe that was served. */
    public LoadReport lastReport() {
        return lastReport;
    }

    /** Notes that a probe is sent. */
    public void start(long now) {
        inFlight = true;
        sentAt = now;
    }

    /** Notes that the probe has ended. */
    public void finish() {
        inFlight = false;
    }

    /** Takes the report of a served probe. */
    public void recordReport(LoadReport report) {
        lastReport = report;
    }
}
