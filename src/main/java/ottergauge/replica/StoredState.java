// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.List;
import ottergauge.resources.LogPosition;
import ottergauge.resources.Resource;
import ottergauge.resources.Subscription;

/** A state in force, as it is kept for the next process of the node. */
public record StoredState(
        LogPosition position, Subscription subscription, List<Resource> resources) {}
