// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;

/**
 * Selects the control process that a node calls: first those of its own region, then the others,
 * each group in rendezvous-hash order. This order differs from node to node. If a process fails,
 * its nodes are therefore distributed over all remaining processes of its region, or over those of
 * the other regions if none remains. A round visits each endpoint once.
 */
final class ControlEndpointSelector {

    // FNV-1a over the text, then MurmurHash3's finalizer.
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX_MULTIPLIER_1 = 0xff51afd7ed558ccdL;
    private static final long MIX_MULTIPLIER_2 = 0xc4ceb9fe1a85ec53L;
    private static final int MIX_SHIFT = 33;

    /** All endpoints; the first one is the preferred endpoint. */
    private final List<ControlEndpoint> endpoints;

    /** The endpoints that this round has not visited yet. */
    private final Deque<ControlEndpoint> remaining = new ArrayDeque<>();

    private ControlEndpoint current;
    private int failedRounds;

    ControlEndpointSelector(String node, String region, List<ControlEndpoint> endpoints) {
        Comparator<ControlEndpoint> otherRegionLast =
                Comparator.comparing(each -> !each.region().equals(region));
        this.endpoints =
                endpoints.stream()
                        .sorted(
                                otherRegionLast.thenComparing(
                                        each -> hash(node, each), Long::compareUnsigned))
                        .toList();
        restart();
    }

    private static long hash(String node, ControlEndpoint endpoint) {
        long hash = FNV_OFFSET_BASIS;
        String text = node + '\n' + endpoint.address();
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        hash = (hash ^ hash >>> MIX_SHIFT) * MIX_MULTIPLIER_1;
        hash = (hash ^ hash >>> MIX_SHIFT) * MIX_MULTIPLIER_2;
        return hash ^ hash >>> MIX_SHIFT;
    }

    /** The endpoint to call. */
    ControlEndpoint current() {
        return current;
    }

    /** Whether the current endpoint is this node's preferred one. */
    boolean isPreferred() {
        return current.equals(endpoints.get(0));
    }

    /**
     * Moves to the next endpoint of the round. Returns false if the round has visited all
     * endpoints.
     */
    boolean advance() {
        if (remaining.isEmpty()) {
            return false;
        }
        current = remaining.poll();
        return true;
    }

    /** Starts a round with the preferred endpoint. */
    void restart() {
        remaining.clear();
        remaining.addAll(endpoints);
        current = remaining.poll();
    }

    /** Starts a round with the preferred endpoint, followed by the current one. */
    void returnToPreferred() {
        ControlEndpoint previous = current;
        restart();
        if (!previous.equals(current)) {
            remaining.remove(previous);
            remaining.addFirst(previous);
        }
    }

    /** Starts a round with this endpoint. */
    void restartAt(ControlEndpoint endpoint) {
        remaining.clear();
        remaining.addAll(endpoints);
        remaining.remove(endpoint);
        current = endpoint;
    }

    /**
     * Records a response from the current endpoint. If this endpoint fails later, the node tries
     * all others before it tries this one again.
     */
    void recordResponse() {
        failedRounds = 0;
        restartAt(current);
        remaining.addLast(current);
    }

    /**
     * Counts a round without a usable response. Returns the number of consecutive failed rounds
     * before it.
     */
    int recordFailedRound() {
        return failedRounds++;
    }
}
