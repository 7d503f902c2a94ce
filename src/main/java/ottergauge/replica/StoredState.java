// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.List;
import ottergauge.resources.LogPosition;
import ottergauge.resources.Resource;
import ottergauge.resources.Subscription;

/**
 * An effective state that is stored for the node's next process.
 *
 * @param position the position of the state
 * @param subscription the subscription with which it was replicated
 * @param resources all resources, in the order of the keys
 */
public record StoredState(
        LogPosition position, Subscription subscription, List<Resource> resources) {}
