// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.load;

import ottergauge.decision.model.MeasurementWindow;

/** How many attempts of this node the mean server of its subset serves per microsecond. */
public final class ServedRate {

    private long served;
    private double perServer;

    /** Counts a served attempt. */
    public void recordServed() {
        served++;
    }

    /** Ends a measurement window in which the subset had so many servers. */
    public void endWindow(int servers) {
        perServer = served / (double) MeasurementWindow.LENGTH_MICROS / Math.max(1, servers);
        served = 0;
    }

    /** Returns the rate of the last window. */
    public double perServer() {
        return perServer;
    }
}
