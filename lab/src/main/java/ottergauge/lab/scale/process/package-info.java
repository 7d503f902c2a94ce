// SPDX-License-Identifier: Apache-2.0
/**
 * The child processes of a scale test: started, controlled, measured, and killed even if the
 * laboratory itself is killed.
 */
package ottergauge.lab.scale.process;
