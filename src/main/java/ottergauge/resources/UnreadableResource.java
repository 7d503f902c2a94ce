// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import java.util.Optional;

/** An entry of a snapshot that could not be decoded; the key is there if that could be. */
public record UnreadableResource(Optional<ResourceKey> key, FieldError error) {}
