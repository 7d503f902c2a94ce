// SPDX-License-Identifier: Apache-2.0
/**
 * Plays a scale test: starts its processes, has things happen at their times, waits, and ends it
 * all.
 */
package ottergauge.lab.scale.run;
