// SPDX-License-Identifier: Apache-2.0

/**
 * Imports discovery's endpoint list into the log. {@link
 * ottergauge.control.discovery.DiscoveryClient} watches the list; {@link
 * ottergauge.control.discovery.ServiceReconciler} compares it with the log's servers of one service
 * and builds the submissions that remove the differences.
 */
package ottergauge.control.discovery;
