// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.node;

import java.util.List;

/** The measurements of node processes with endpoint lists of one size. */
public record NodeResults(
        List<Start> starts,
        DiscoveryStart discoveryStart,
        Idle idle,
        Changes changes,
        Load load,
        long peakResidentBytes) {

    /**
     * One start with the full list in the configuration: time and CPU time until the node is ready,
     * and resident memory after the settle time that follows.
     */
    public record Start(double readyMs, double cpuMs, long residentBytes) {}

    /**
     * The result of a start with an empty list in the configuration: the node gets the list from
     * discovery.
     */
    public sealed interface DiscoveryStart {}

    /**
     * The node applied discovery's list {@code afterMs} milliseconds after its process was started.
     */
    public record Applied(double afterMs, long residentBytes) implements DiscoveryStart {}

    /** The node did not apply the list in time. The reason states the traffic at discovery. */
    public record NotApplied(String reason) implements DiscoveryStart {}

    /** A node without requests or changes. CPU is a fraction of one core. */
    public record Idle(double cpu, double callsPerSecond, double bytesPerSecond) {}

    /** Changes at a constant rate. CPU is a fraction of one core, one value per time slice. */
    @SuppressWarnings("ArrayRecordComponent") // Never compared; the table takes primitives.
    public record Changes(
            double[] cpu, double callsPerChange, double bytesPerChange, boolean allApplied) {}

    /** Requests at a constant mean rate, one result per time slice. */
    public record Load(List<LoadSlice> slices) {}

    /**
     * Requests through the node and, at the same time and mean rate, requests sent directly to the
     * server. {@code cpuMsPerRequest} is CPU time of the node per request through it.
     */
    public record LoadSlice(
            double cpuMsPerRequest,
            double viaNodeP50Ms,
            double viaNodeP99Ms,
            double directP50Ms,
            double directP99Ms,
            double sendDelayP99Ms,
            long served,
            long failed) {}
}
