// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.statistics;

import java.util.Map;

/**
 * The figures of a phase. Spans are microseconds, bytes are those of HTTP messages at a node's
 * sockets.
 *
 * @param latest the process of the rig that was late most, by the part of its looks
 * @param changes how many changes were made
 * @param inForce from a change until a hollow node goes by it, for all pairs of both
 * @param atLastNode the same until the last hollow node goes by it, for all changes
 * @param atRealNodes until a real node's next call shows that it goes by it
 * @param afterRestart from the phase's beginning until a hollow node goes by the newest version,
 *     where they began without any state
 * @param missing pairs of a change and a hollow node that does not go by it at the end
 * @param behind hollow nodes that do not go by the newest version at the end
 * @param wrong hollow nodes whose servers at the end are not those of the source
 * @param bytesANode bytes a second of a hollow node, in the mean
 * @param mostBytesIn10s the most bytes of any hollow node in any ten seconds
 * @param calls calls that hollow nodes made, by kind
 * @param mostCallsIn100ms the most of them in any 100 ms
 * @param atDiscovery calls that reached discovery, by what became of them
 * @param mostAtDiscoveryIn100ms the most of them in any 100 ms
 * @param wholeLists whole lists that discovery wrote, and their bytes
 * @param cores CPU of each process, in cores
 * @param residentBytes the most of each process
 * @param heapBytes the least of each process: what is left after a collection
 */
public record PhaseStatistics(
        PhaseWindow window,
        boolean late,
        Latest latest,
        long changes,
        Distribution inForce,
        Distribution atLastNode,
        Distribution atRealNodes,
        Distribution afterRestart,
        long missing,
        long behind,
        long wrong,
        double bytesANode,
        long mostBytesIn10s,
        Map<String, Long> calls,
        long mostCallsIn100ms,
        Map<String, Long> atDiscovery,
        long mostAtDiscoveryIn100ms,
        WholeLists wholeLists,
        Map<String, Double> cores,
        Map<String, Long> residentBytes,
        Map<String, Long> heapBytes,
        Map<String, Long> linkBytes,
        Map<String, Long> leftOut) {

    /**
     * The process of the rig that was late most, the part of its looks that were, and lines lost by
     * all.
     */
    public record Latest(String process, double part, long lost) {}

    /** Whole lists, by number and bytes. */
    public record WholeLists(long lists, long bytes) {}

    /** What a phase comes to. */
    public enum Verdict {
        /** All nodes go by all that was changed. */
        REACHED,
        /** Some node does not. */
        NOT_REACHED,
        /** The rig was late: what it saw says nothing of the nodes. */
        RIG_LATE
    }

    /** What it comes to. */
    public Verdict verdict() {
        return late
                ? Verdict.RIG_LATE
                : missing + behind + wrong > 0 ? Verdict.NOT_REACHED : Verdict.REACHED;
    }
}
