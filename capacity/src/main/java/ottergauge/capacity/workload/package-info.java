// SPDX-License-Identifier: Apache-2.0

/**
 * Input of the measurements: lists of servers, changes of them and configurations, all drawn from a
 * seed.
 */
package ottergauge.capacity.workload;
