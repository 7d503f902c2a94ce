// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import java.util.List;

/**
 * A change as it is asked for: it has no version yet. The same {@code id} again asks for the same
 * change.
 */
public record Submission(String id, List<Change.Put> puts, List<ResourceKey> deletes) {}
