// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

/** A version of a log. Versions of different logs can't be compared. */
public record LogPosition(String log, long version) {}
