// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.load;

import ottergauge.decision.model.MeasurementWindow;

/**
 * The mean rate at which a server of the subset serves attempts of this node, in attempts per
 * microsecond.
 */
public final class ServedRate {

    private long served;
    private double perServer;

    /** Counts a successful attempt. */
    public void recordServed() {
        served++;
    }

    /**
     * Ends a measurement window.
     *
     * @param servers number of servers in the subset during that window
     */
    public void endWindow(int servers) {
        perServer = served / (double) MeasurementWindow.LENGTH_MICROS / Math.max(1, servers);
        served = 0;
    }

    /** Returns the rate of the last window. */
    public double perServer() {
        return perServer;
    }
}
