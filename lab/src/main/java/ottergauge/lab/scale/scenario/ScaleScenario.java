// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.scenario;

import java.util.List;

/** One scale test as its file describes it. Spans are microseconds. */
public record ScaleScenario(
        String name,
        long seed,
        Nodes nodes,
        int regions,
        State state,
        Discovery discovery,
        long settle,
        List<Phase> phases) {

    /**
     * The nodes: hollow ones share {@code processes} processes with {@code loops} event loops each
     * and {@code heapMb} of heap, and start over {@code startOver}; {@code real} ones run as
     * deployed. A node that {@code knows} the list was given it with its configuration, as of the
     * play's start.
     */
    public record Nodes(
            int hollow,
            int processes,
            int loops,
            int heapMb,
            long startOver,
            int real,
            boolean knows) {}

    /** What is distributed, by number. */
    public record State(int servers, int services) {}

    /**
     * The stand-in for discovery: the calls that it works through in a second, and how long one may
     * wait.
     */
    public record Discovery(double callsPerSecond, long patience, int heapMb) {}

    /** What happens in a phase. */
    public enum What {
        /** Nothing changes. */
        REST,
        /** Changes at instants drawn by chance. */
        CHANGES,
        /**
         * Servers are replaced one by one: each drains, goes, and comes back under another name.
         */
        RELEASE,
        /** All hollow nodes lose their connections and state at once and begin anew. */
        RESTART,
        /** A part of the servers goes in one instant. */
        ZONE_LOST,
        /** Regions are cut off while changes come, and then heal. */
        APART,
        /** A process is killed at the instant of a change, and started again after a while. */
        KILL,
        /** A process is stopped by the system for a while, with a change in the middle of it. */
        STALL
    }

    /**
     * A part of the play: {@code length} is how long it is played before all nodes are waited for,
     * {@code rate} the changes a second, of which {@code compressed} tells how many times denser
     * they come than in what is stood for. {@code part} is that of the servers lost, {@code
     * regions} those cut off, {@code who} the process that is killed or stalled, for {@code away}.
     */
    public record Phase(
            String name,
            What what,
            long length,
            double rate,
            double compressed,
            double part,
            List<String> regions,
            String who,
            long away) {}

    /** The same with another seed. */
    public ScaleScenario withSeed(long other) {
        return new ScaleScenario(name, other, nodes, regions, state, discovery, settle, phases);
    }

    /** The name of a region, by its number from 0 on. */
    public static String region(int number) {
        return "r" + (number + 1);
    }

    /** All nodes, hollow and real. */
    public int allNodes() {
        return nodes.hollow() + nodes.real();
    }
}
