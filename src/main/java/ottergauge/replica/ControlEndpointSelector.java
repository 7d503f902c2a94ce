// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;

/**
 * Which control process a node asks: those of its region first, then the others, both in the order
 * of a rendezvous hash, so that the nodes of a process that is lost spread over all that are left.
 * A round asks each of them once.
 */
final class ControlEndpointSelector {

    private static final long HASH_START = 0xcbf29ce484222325L;
    private static final long HASH_PRIME = 0x100000001b3L;
    private static final long MIX_FIRST = 0xff51afd7ed558ccdL;
    private static final long MIX_SECOND = 0xc4ceb9fe1a85ec53L;
    private static final int MIX_SHIFT = 33;

    private final List<ControlEndpoint> order;

    /** Those that this round has not asked yet. */
    private final Deque<ControlEndpoint> left = new ArrayDeque<>();

    private ControlEndpoint current;
    private int failedRounds;

    ControlEndpointSelector(String node, String region, List<ControlEndpoint> addresses) {
        order =
                addresses.stream()
                        .sorted(
                                Comparator.comparing(
                                                (ControlEndpoint each) ->
                                                        !each.region().equals(region))
                                        .thenComparing(
                                                each -> hash(node, each), Long::compareUnsigned))
                        .toList();
        restart();
    }

    private static long hash(String node, ControlEndpoint address) {
        long hash = HASH_START;
        String text = node + '\n' + address.address();
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * HASH_PRIME;
        }
        hash = (hash ^ hash >>> MIX_SHIFT) * MIX_FIRST;
        hash = (hash ^ hash >>> MIX_SHIFT) * MIX_SECOND;
        return hash ^ hash >>> MIX_SHIFT;
    }

    /** The process that the node goes by, or asks. */
    ControlEndpoint current() {
        return current;
    }

    boolean isPreferred() {
        return current.equals(order.get(0));
    }

    /** Goes to the next process of the round; false if it has asked all. */
    boolean next() {
        if (left.isEmpty()) {
            return false;
        }
        current = left.poll();
        return true;
    }

    /** Begins a round with the first process. */
    void restart() {
        left.clear();
        left.addAll(order);
        current = left.poll();
    }

    /** Begins a round with the first process, whose last one is the one that the node goes by. */
    void returnToPreferred() {
        ControlEndpoint before = current;
        restart();
        if (!before.equals(current)) {
            left.remove(before);
            left.addFirst(before);
        }
    }

    /** Begins a round with this process. */
    void restartAt(ControlEndpoint address) {
        left.clear();
        left.addAll(order);
        left.remove(address);
        current = address;
    }

    /** The current process has answered: if it is lost later, all the others come first. */
    void answered() {
        failedRounds = 0;
        restartAt(current);
        left.addLast(current);
    }

    /** How many rounds in a row had no answer that could be used, before this one. */
    int recordFailedRound() {
        return failedRounds++;
    }
}
