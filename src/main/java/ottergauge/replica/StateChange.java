// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.List;
import ottergauge.resources.Change;
import ottergauge.resources.LogPosition;
import ottergauge.resources.Resource;

/**
 * What changes by going from one state in force to the next: the newest value of each resource that
 * differs, in the order of the keys. {@code whole}: there was none before, and this is all of it.
 */
public record StateChange(
        LogPosition position, boolean full, List<Resource> puts, List<Change.Delete> deletes) {}
