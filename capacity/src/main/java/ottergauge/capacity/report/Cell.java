// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.report;

/** What a table says of one row at one size. */
public sealed interface Cell {

    /** It was measured. */
    record Measured(Spread spread) implements Cell {}

    /** It was tried and failed. */
    record Failed(String reason) implements Cell {}
}
