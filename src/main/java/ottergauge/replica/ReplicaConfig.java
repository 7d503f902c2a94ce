// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.List;
import ottergauge.resources.Subscription;

/**
 * What a replica is told at its start. {@code within} is how soon a change is to be in force,
 * {@code keepEvery} the least time between two states that are handed out to be kept, 0 if none is;
 * spans are microseconds. {@code bytesPerSecond} paces the pages of a snapshot.
 */
public record ReplicaConfig(
        String node,
        String region,
        List<ControlEndpoint> addresses,
        Subscription subscription,
        long propagationDeadlineMicros,
        long snapshotBytesPerSecond,
        long storeIntervalMicros,
        ReplicaLimits limits) {}
