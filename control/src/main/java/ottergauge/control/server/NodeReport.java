// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

/**
 * The report that a node sends with each poll.
 *
 * @param log the log that the node follows
 * @param effectiveVersion the version that is effective at the node
 * @param rejectedVersion the version that the node most recently rejected; 0 for none
 */
record NodeReport(
        String name, String region, String log, long effectiveVersion, long rejectedVersion) {}
