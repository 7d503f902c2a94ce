// SPDX-License-Identifier: Apache-2.0

/**
 * Measured values with their spread, linear fits over the sizes, and the Markdown page made of
 * them.
 */
package ottergauge.capacity.report;
