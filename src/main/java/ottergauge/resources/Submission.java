// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import java.util.List;

/**
 * A change that is submitted and has no version yet.
 *
 * @param id the idempotency key: the same id again is answered as before and changes nothing
 */
public record Submission(String id, List<Change.Put> puts, List<ResourceKey> deletes) {}
