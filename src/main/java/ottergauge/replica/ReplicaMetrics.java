// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import ottergauge.resources.LogPosition;

/**
 * The metrics of a replica.
 *
 * @param position the effective position; before the first state, version 0 of a log with an empty
 *     name
 * @param rejectedVersion the version that was most recently rejected; 0 for none
 * @param ageMicros the time since a control process last confirmed the state
 * @param resources the number of effective resources
 * @param bytes their estimated size in memory
 */
public record ReplicaMetrics(
        LogPosition position, long rejectedVersion, long ageMicros, int resources, long bytes) {}
