// SPDX-License-Identifier: Apache-2.0
package ottergauge.protocol;

import ottergauge.decision.api.LoadReport;

/**
 * Reads load reports in text form: {@code TEXT inflight=7, queue=2, util=0.61}. Servers use either
 * the field names of the settings or those of the protocol's description; both are accepted.
 */
public final class LoadReportReader {

    // A larger value is an error. It would keep requests from the server for hours.
    private static final double MAX_VALUE = 1e6;
    private static final String FORM = "TEXT";

    private LoadReportReader() {}

    /**
     * Reads a report. Missing fields are NaN; unknown fields are ignored. A report with a value
     * that can't be parsed is {@link LoadReport#NONE}.
     */
    @SuppressWarnings("StringSplitter") // A trailing comma is ignored.
    public static LoadReport read(String text) {
        if (text == null || !text.startsWith(FORM)) {
            return LoadReport.NONE;
        }
        double inFlight = Double.NaN;
        double queued = Double.NaN;
        double utilization = Double.NaN;
        double latencyMs = Double.NaN;
        double served = Double.NaN;
        for (String pair : text.substring(FORM.length()).split(",")) {
            int equals = pair.indexOf('=');
            double value = equals < 0 ? Double.NaN : number(pair.substring(equals + 1));
            if (Double.isNaN(value)) {
                return LoadReport.NONE;
            }
            switch (pair.substring(0, equals).trim()) {
                case "outstanding", "inflight" -> inFlight = value;
                case "backlog", "queue" -> queued = value;
                case "utilization", "util" -> utilization = value;
                case "recent_ms", "latency_ms" -> latencyMs = value;
                case "throughput", "qps" -> served = value;
                default -> {}
            }
        }
        return new LoadReport(inFlight, queued, utilization, latencyMs * 1000, served);
    }

    private static double number(String text) {
        try {
            double value = Double.parseDouble(text.trim());
            return Double.isFinite(value) && value >= 0 && value <= MAX_VALUE ? value : Double.NaN;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
