// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import java.util.Optional;

/**
 * An entry of a snapshot that could not be decoded; {@code key} is present if the key could be
 * decoded.
 */
public record UnreadableResource(Optional<ResourceKey> key, FieldError error) {}
