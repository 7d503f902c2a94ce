// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

/**
 * The largest state that a replica takes: by number, and by bytes in memory as {@link ResourceSize}
 * has them.
 */
public record ReplicaLimits(int resources, long bytes) {

    /** Several times the state that the deployment is designed for. */
    public static final ReplicaLimits DEFAULT = new ReplicaLimits(200_000, 64L << 20);
}
