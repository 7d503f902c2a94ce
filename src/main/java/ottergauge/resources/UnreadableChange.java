// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

/**
 * A change that could not be decoded past its version, so that a reader can reject it by version
 * and go on.
 */
public record UnreadableChange(long version, FieldError error) {}
