// SPDX-License-Identifier: Apache-2.0
/**
 * Runs a scale test: starts its processes, applies changes and faults at their times, waits for the
 * nodes, and ends all processes.
 */
package ottergauge.lab.scale.run;
