// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.report;

/** The content of a table cell: the result for one row at one size. */
public sealed interface Cell {

    /** The measured values. */
    record Measured(Spread spread) implements Cell {}

    /** The measurement failed. */
    record Failed(String reason) implements Cell {}
}
