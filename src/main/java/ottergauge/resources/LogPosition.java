// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

/** A version, and the log that counts it: versions of two logs can't be compared. */
public record LogPosition(String log, long version) {}
