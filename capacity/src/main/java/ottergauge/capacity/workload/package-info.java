// SPDX-License-Identifier: Apache-2.0

/**
 * Input of the measurements: endpoint lists, changes of them and node configurations, all generated
 * from a seed; and drivers that feed them to a decision engine or a router.
 */
package ottergauge.capacity.workload;
