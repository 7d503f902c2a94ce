// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

/**
 * An answer of a control process that can't tell the changes after a version: it has another log,
 * has dropped them, or hasn't reached that version. It has the changes from {@code oldest} to
 * {@code newest}.
 */
public record VersionUnavailable(String log, long oldest, long newest) {}
