// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import ottergauge.resources.LogPosition;

/**
 * How a replica stands: the position in force, the version that was refused last (0 for none), the
 * microseconds since a control process last confirmed the state, and the state's size.
 */
public record ReplicaMetrics(
        LogPosition position, long rejected, long ageMicros, int resources, long bytes) {}
