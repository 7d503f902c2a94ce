// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import java.util.Optional;

/** An entry of a snapshot that can't be read; {@code key} is there if that can be. */
public record UnreadableResource(Optional<ResourceKey> key, FieldError error) {}
