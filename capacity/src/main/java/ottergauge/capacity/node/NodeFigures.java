// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.node;

import java.util.List;

/** What was measured of real processes that know lists of one size. */
public record NodeFigures(
        List<Start> starts,
        Told told,
        Rest rest,
        Changes changes,
        Load load,
        long peakResidentBytes) {

    /**
     * One start with the whole list in the configuration: until it takes clients, and some time
     * later.
     */
    public record Start(double readyMs, double cpuMs, long residentBytes) {}

    /** What became of a start with no list in the configuration: discovery had to tell it. */
    public sealed interface Told {}

    /** The node took the list so long after its process was started. */
    public record Taken(double afterMs, long residentBytes) implements Told {}

    /** The node had not taken it by the end; so much passed at discovery each second. */
    public record NotTaken(String why) implements Told {}

    /** A node that nothing happens at; CPU as a part of one core. */
    public record Rest(double cpu, double callsPerSecond, double bytesPerSecond) {}

    /** Changes at an even rate; CPU as a part of one core, by slices of the time. */
    @SuppressWarnings(
            "ArrayRecordComponent") // Compared nowhere; primitives as the table takes them.
    public record Changes(
            double[] cpu, double callsPerChange, double bytesPerChange, boolean followed) {}

    /** Requests at a mean rate, by slices of the time. */
    public record Load(List<LoadSlice> slices) {}

    /**
     * Requests through the node, and as many past it meanwhile; CPU of the node for each of its
     * own.
     */
    public record LoadSlice(
            double cpuMsPerRequest,
            double throughMs50,
            double throughMs99,
            double directMs50,
            double directMs99,
            double lateMs99,
            long served,
            long failed) {}
}
