// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.List;
import ottergauge.resources.Change;
import ottergauge.resources.LogPosition;
import ottergauge.resources.Resource;

/**
 * The difference between two effective states: the newest value of each resource that differs.
 *
 * @param position the position of the new state
 * @param full whether there was no previous state, so that {@code puts} is the complete state
 * @param puts the new and changed resources, in the order of the keys
 * @param deletes the removed resources, in the order of the keys
 */
public record StateChange(
        LogPosition position, boolean full, List<Resource> puts, List<Change.Delete> deletes) {

    /** Whether no resource differs. */
    boolean isEmpty() {
        return puts.isEmpty() && deletes.isEmpty();
    }
}
