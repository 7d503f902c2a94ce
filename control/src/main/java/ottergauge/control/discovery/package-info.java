// SPDX-License-Identifier: Apache-2.0

/**
 * Imports discovery's endpoint list into the log. {@link
 * ottergauge.control.discovery.DiscoveryClient} watches the list; {@link
 * ottergauge.control.discovery.ServiceReconciler} compares it with the servers of one service in
 * the log and builds the submissions that remove the differences.
 */
package ottergauge.control.discovery;
