// SPDX-License-Identifier: Apache-2.0
/** What was seen in a play, and the figures that follow from it. No I/O. */
package ottergauge.lab.scale.statistics;
