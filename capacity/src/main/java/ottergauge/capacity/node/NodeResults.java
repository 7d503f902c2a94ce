// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.node;

import java.util.List;

/** What was measured of real processes that know lists of one size. */
public record NodeResults(
        List<Start> starts,
        DiscoveryStart discoveryStart,
        Idle idle,
        Changes changes,
        Load load,
        long peakResidentBytes) {

    /**
     * One start with the whole list in the configuration: until it takes clients, and some time
     * later.
     */
    public record Start(double readyMs, double cpuMs, long residentBytes) {}

    /** What became of a start with no list in the configuration: discovery had to tell it. */
    public sealed interface DiscoveryStart {}

    /** The node took the list so long after its process was started. */
    public record Applied(double afterMs, long residentBytes) implements DiscoveryStart {}

    /** The node had not taken it by the end; so much passed at discovery each second. */
    public record NotApplied(String reason) implements DiscoveryStart {}

    /** A node that nothing happens at; CPU as a part of one core. */
    public record Idle(double cpu, double callsPerSecond, double bytesPerSecond) {}

    /** Changes at an even rate; CPU as a part of one core, by slices of the time. */
    @SuppressWarnings(
            "ArrayRecordComponent") // Compared nowhere; primitives as the table takes them.
    public record Changes(
            double[] cpu, double callsPerChange, double bytesPerChange, boolean allApplied) {}

    /** Requests at a mean rate, by slices of the time. */
    public record Load(List<LoadSlice> slices) {}

    /**
     * Requests through the node, and as many past it meanwhile; CPU of the node for each of its
     * own.
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
