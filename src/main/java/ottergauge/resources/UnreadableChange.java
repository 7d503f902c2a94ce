// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

/**
 * A change of which only the version could be decoded. The reader can reject it by its version and
 * continue.
 */
public record UnreadableChange(long version, FieldError error) {}
