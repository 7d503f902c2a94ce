// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

/**
 * The largest state that a replica applies.
 *
 * @param maxResources the number of resources
 * @param maxBytes their size in memory as estimated by {@link ResourceSize}
 */
public record ReplicaLimits(int maxResources, long maxBytes) {

    /** Several times the state that the deployment is designed for. */
    public static final ReplicaLimits DEFAULT = new ReplicaLimits(200_000, 64L << 20);
}
