// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

/**
 * A change of which the version can be read and something else can't: a reader refuses it by
 * version.
 */
public record UnreadableChange(long version, FieldError error) {}
