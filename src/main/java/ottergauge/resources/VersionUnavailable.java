// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

/**
 * A control process' response to a poll that it can't serve: the process has another log, no longer
 * has the changes after the polled version, or has not reached that version.
 *
 * @param log the process' log
 * @param oldest the version of the oldest change that the process still has
 * @param newest the version that the process has reached
 */
public record VersionUnavailable(String log, long oldest, long newest) {}
