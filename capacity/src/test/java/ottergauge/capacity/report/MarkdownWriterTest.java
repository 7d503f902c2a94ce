// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class MarkdownWriterTest {

    @Test
    void rowShowsSpreadFailureAndSizesThatWereNotRun() {
        Row row = Row.of("read", "µs");
        row.put(100, new Cell.Measured(Spread.of(3, 1, 2)));
        row.put(1_000, new Cell.Measured(Spread.of(12)));
        row.put(4_000, new Cell.Failed("out of memory"));
        String page =
                MarkdownWriter.write(
                        new Page(
                                List.of("Seed 7."),
                                List.of(
                                        new Section(
                                                "Lists",
                                                List.of("One thread."),
                                                "servers",
                                                List.of(100, 1_000, 4_000, 8_000),
                                                8_000,
                                                List.of(row)))));
        assertTrue(page.contains("- Seed 7.\n"));
        assertTrue(
                page.contains(
                        "| read | µs | 2.00 (1.00 to 3.00) | 12.0 | failed: out of memory | not run"
                                + " | 0.889 | 0.0111 | 100 to 1,000 | 1.000 |"),
                page);
    }

    @Test
    void rowThatDoesNotGrowHasSlopeZero() {
        Row row = Row.of("bytes", "B");
        row.put(100, new Cell.Measured(Spread.of(8_872.001)));
        row.put(8_000, new Cell.Measured(Spread.of(8_872.003)));
        String page =
                MarkdownWriter.write(
                        new Page(
                                List.of(),
                                List.of(
                                        new Section(
                                                "Lists",
                                                List.of(),
                                                "servers",
                                                List.of(100, 8_000),
                                                8_000,
                                                List.of(row)))));
        assertTrue(
                page.contains("| bytes | B | 8,872 | 8,872 | 8,872 | 0 | 100 to 8,000 | - |"),
                page);
    }

    @Test
    void sizesBeyondTheFitLimitAreShownAndNotFitted() {
        Row row = Row.of("window", "µs");
        row.put(1, new Cell.Measured(Spread.of(1)));
        row.put(64, new Cell.Measured(Spread.of(64)));
        row.put(500, new Cell.Measured(Spread.of(64)));
        String page =
                MarkdownWriter.write(
                        new Page(
                                List.of(),
                                List.of(
                                        new Section(
                                                "Classes",
                                                List.of(),
                                                "classes",
                                                List.of(1, 64, 500),
                                                64,
                                                List.of(row)))));
        assertTrue(page.contains("| 64.0 | 64.0 | 0 | 1.00 | 1 to 64 | 1.000 |"), page);
    }

    @Test
    void number_hasThreeSignificantDigitsOrIsAWholeNumber() {
        assertEquals("0", MarkdownWriter.number(0));
        assertEquals("0.0123", MarkdownWriter.number(0.012345));
        assertEquals("12.3", MarkdownWriter.number(12.345));
        assertEquals("1,234,568", MarkdownWriter.number(1_234_567.8));
        assertEquals("-61.9", MarkdownWriter.number(-61.91));
    }
}
