// SPDX-License-Identifier: Apache-2.0

/**
 * The report: measured values with their spread, linear fits over the sizes, and the Markdown page
 * with their tables.
 */
package ottergauge.capacity.report;
