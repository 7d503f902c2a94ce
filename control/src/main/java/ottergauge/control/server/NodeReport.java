// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

/**
 * What a node reports with a poll.
 *
 * @param log the log that the node follows
 * @param effectiveVersion the version that is in effect at the node
 * @param rejectedVersion the version that it rejected last; 0 for none
 */
record NodeReport(
        String name, String region, String log, long effectiveVersion, long rejectedVersion) {}
