// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

/**
 * What a node tells of itself: the version that it goes by, and the one that it refused last, 0 for
 * none.
 */
record NodeReport(String name, String region, String log, long effectiveVersion, long refused) {}
