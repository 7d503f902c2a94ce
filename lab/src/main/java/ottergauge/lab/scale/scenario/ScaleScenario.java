// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.scenario;

import java.util.List;

/** A scale test as its file describes it. Durations are in microseconds. */
public record ScaleScenario(
        String name,
        long seed,
        Nodes nodes,
        int regions,
        State state,
        Discovery discovery,
        long settleTimeout,
        List<Phase> phases) {

    /**
     * The nodes. The {@code hollow} nodes share {@code processes} processes, each with {@code
     * loops} event loops and {@code heapMb} MB of heap. Their starts are spread over {@code
     * startPeriod}. The {@code real} nodes run as deployed. If {@code preloaded} is set, the
     * configuration of each node contains the server list that discovery has at the start of the
     * test.
     */
    public record Nodes(
            int hollow,
            int processes,
            int loops,
            int heapMb,
            long startPeriod,
            int real,
            boolean preloaded) {}

    /** The size of the state that is distributed to the nodes. */
    public record State(int servers, int services) {}

    /**
     * The stand-in for discovery: the number of calls that it handles per second, how long a call
     * may queue, and the size of its heap.
     */
    public record Discovery(double callsPerSecond, long maxQueueTime, int heapMb) {}

    /** What happens in a phase. The file names a kind in lower case with hyphens. */
    public enum PhaseKind {
        /** Nothing changes. */
        REST,
        /** Changes happen at random times. */
        CHANGES,
        /**
         * Servers are replaced one by one: each drains, terminates, and is replaced by one with
         * another name.
         */
        RELEASE,
        /** All hollow nodes lose their connections and state at once and start again. */
        RESTART,
        /** A fraction of the servers terminates at once. */
        ZONE_LOST,
        /** Regions are cut off while changes happen, and are then reconnected. */
        APART,
        /** A process is killed at the time of a change, and is started again after a while. */
        KILL,
        /**
         * A process is suspended by the operating system for a while, and a change happens halfway.
         */
        STALL
    }

    /**
     * A phase of the test. {@code length} is how long it runs before the test waits for all nodes.
     * {@code rate} is the number of changes per second, and {@code compression} is how many times
     * higher that rate is than in production. {@code lostFraction} is the fraction of the servers
     * that terminates, {@code regions} are the regions that are cut off, and {@code process} is the
     * process that is killed or suspended for {@code downTime}.
     */
    public record Phase(
            String name,
            PhaseKind kind,
            long length,
            double rate,
            double compression,
            double lostFraction,
            List<String> regions,
            String process,
            long downTime) {}

    /** Returns the same scale test with another seed. */
    public ScaleScenario withSeed(long other) {
        return new ScaleScenario(
                name, other, nodes, regions, state, discovery, settleTimeout, phases);
    }

    /** Returns the name of a region; {@code number} starts at 0. */
    public static String region(int number) {
        return "r" + (number + 1);
    }

    /** Returns the number of all nodes, hollow and real. */
    public int allNodes() {
        return nodes.hollow() + nodes.real();
    }
}
