// SPDX-License-Identifier: Apache-2.0

/**
 * The command line: which measurements are taken, in which order, and where the page is written.
 */
package ottergauge.capacity.program;
