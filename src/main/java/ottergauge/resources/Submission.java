// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import java.util.List;

/**
 * A submitted change, which has no version yet.
 *
 * @param id the idempotency key: a repeated submission with the same id gets the same response and
 *     changes nothing
 */
public record Submission(String id, List<Change.Put> puts, List<ResourceKey> deletes) {}
