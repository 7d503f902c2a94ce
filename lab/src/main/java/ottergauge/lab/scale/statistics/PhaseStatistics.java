// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.statistics;

import java.util.Map;

/**
 * The statistics of a phase. Durations are microseconds; bytes are those of HTTP messages at a
 * node's sockets.
 *
 * @param rigLate whether the laboratory ran late or lost lines of a report
 * @param rigLateness the laboratory process with the largest fraction of late samples
 * @param changes the number of changes
 * @param propagation the time from a change until it takes effect on a hollow node, for all pairs
 *     of a change and a hollow node
 * @param propagationToLastNode the time from a change until it takes effect on the last hollow
 *     node, for all changes
 * @param propagationToRealNodes the time from a change until a real node's next call shows that it
 *     has taken effect
 * @param propagationAfterRestart the time from the start of the phase until the newest version
 *     takes effect on a hollow node, if the nodes start without any state
 * @param missingChanges pairs of a change and a hollow node on which it is not in effect at the end
 * @param nodesBehind hollow nodes on which the newest version is not in effect at the end
 * @param nodesWithWrongServers hollow nodes whose servers at the end differ from those of the
 *     source
 * @param bytesPerNodePerSecond the mean bytes per second of a hollow node
 * @param maxBytesIn10s the largest number of bytes of any hollow node in any ten seconds
 * @param calls calls that hollow nodes made, by kind
 * @param maxCallsIn100ms the largest number of these calls in any 100 ms
 * @param discoveryCalls calls that reached discovery, by how they were handled
 * @param maxDiscoveryCallsIn100ms the largest number of these calls in any 100 ms
 * @param fullLists full lists that discovery sent, and their bytes
 * @param cores CPU time of each process, in cores
 * @param residentBytes the maximum for each process
 * @param heapBytes the minimum for each process: what remains after a garbage collection
 */
public record PhaseStatistics(
        PhaseWindow window,
        boolean rigLate,
        RigLateness rigLateness,
        long changes,
        Distribution propagation,
        Distribution propagationToLastNode,
        Distribution propagationToRealNodes,
        Distribution propagationAfterRestart,
        long missingChanges,
        long nodesBehind,
        long nodesWithWrongServers,
        double bytesPerNodePerSecond,
        long maxBytesIn10s,
        Map<String, Long> calls,
        long maxCallsIn100ms,
        Map<String, Long> discoveryCalls,
        long maxDiscoveryCallsIn100ms,
        FullLists fullLists,
        Map<String, Double> cores,
        Map<String, Long> residentBytes,
        Map<String, Long> heapBytes,
        Map<String, Long> linkBytes,
        Map<String, Long> omittedEffects) {

    /**
     * The laboratory process with the largest fraction of late samples, that fraction, and the
     * lines that all processes lost.
     */
    public record RigLateness(String process, double lateFraction, long lostLines) {}

    /** The number of full lists and their bytes. */
    public record FullLists(long lists, long bytes) {}

    /** The verdict on a phase. */
    public enum Verdict {
        /** All changes took effect on all nodes. */
        REACHED,
        /** Some change did not take effect on some node. */
        NOT_REACHED,
        /** The laboratory ran late, so the measurements say nothing about the nodes. */
        RIG_LATE
    }

    /** Returns the verdict; {@code RIG_LATE} takes precedence. */
    public Verdict verdict() {
        return rigLate
                ? Verdict.RIG_LATE
                : missingChanges + nodesBehind + nodesWithWrongServers > 0
                        ? Verdict.NOT_REACHED
                        : Verdict.REACHED;
    }
}
