// SPDX-License-Identifier: Apache-2.0
/**
 * The processes of a scale test: started, ordered about, measured, and ended whatever becomes of
 * the rig.
 */
package ottergauge.lab.scale.process;
