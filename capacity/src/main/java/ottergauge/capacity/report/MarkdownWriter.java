// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.report;

import java.util.Locale;
import java.util.stream.Collectors;

/** Writes a page as Markdown. */
public final class MarkdownWriter {

    private static final String NOT_RUN = "not run";
    private static final double WHOLE_NUMBER_FROM = 1000;
    // A slope is reported as 0 if the line grows by less than this fraction over all sizes.
    private static final double FLAT_FRACTION = 0.001;

    private MarkdownWriter() {}

    /** Returns the page as Markdown text. */
    public static String write(Page page) {
        StringBuilder text = new StringBuilder("<!-- SPDX-License-Identifier: Apache-2.0 -->\n");
        text.append("# Capacity of one node, as measured\n\n");
        text.append("Written by `make capacity`; not edited by hand.\n\n");
        page.conditions().forEach(condition -> text.append("- ").append(condition).append('\n'));
        page.sections().forEach(section -> write(text, section));
        return text.toString();
    }

    private static void write(StringBuilder text, Section section) {
        text.append("\n## ").append(section.title()).append("\n\n");
        section.notes().forEach(note -> text.append(note).append('\n'));
        text.append(section.notes().isEmpty() ? "" : "\n");
        text.append("| what | unit |");
        section.sizes().forEach(size -> text.append(' ').append(wholeNumber(size)).append(" |"));
        text.append(" fit: at 0 | fit: per ")
                .append(section.sizeName())
                .append(" | fitted over | R² |\n|");
        text.append(" --- |".repeat(section.sizes().size() + 6)).append('\n');
        section.rows().forEach(row -> write(text, section, row));
    }

    private static void write(StringBuilder text, Section section, Row row) {
        text.append("| ").append(row.label()).append(" | ").append(row.unit()).append(" | ");
        text.append(
                section.sizes().stream()
                        .map(size -> cell(row.cells().get(size)))
                        .collect(Collectors.joining(" | ")));
        String fit = row.fit(section.fitUpTo()).map(MarkdownWriter::fit).orElse("- | - | - | -");
        text.append(" | ").append(fit).append(" |\n");
    }

    private static String cell(Cell cell) {
        if (cell instanceof Cell.Measured measured) {
            Spread spread = measured.spread();
            String minimum = number(spread.minimum());
            String maximum = number(spread.maximum());
            return minimum.equals(maximum)
                    ? minimum
                    : "%s (%s to %s)".formatted(number(spread.median()), minimum, maximum);
        }
        return cell instanceof Cell.Failed failed ? "failed: " + failed.reason() : NOT_RUN;
    }

    private static String fit(LinearFit fit) {
        double growth = fit.slope() * (fit.maxSize() - fit.minSize());
        boolean flat = Math.abs(growth) < FLAT_FRACTION * Math.abs(fit.intercept());
        return "%s | %s | %s to %s | %s"
                .formatted(
                        number(fit.intercept()),
                        flat ? "0" : number(fit.slope()),
                        wholeNumber((long) fit.minSize()),
                        wholeNumber((long) fit.maxSize()),
                        flat ? "-" : String.format(Locale.ROOT, "%.3f", fit.rSquared()));
    }

    /** Formats a number with three significant digits, or as a whole number from 1,000 up. */
    static String number(double value) {
        if (value == 0) {
            return "0";
        }
        if (Math.abs(value) >= WHOLE_NUMBER_FROM) {
            return wholeNumber(Math.round(value));
        }
        int decimals = Math.max(0, 2 - (int) Math.floor(Math.log10(Math.abs(value))));
        return String.format(Locale.ROOT, "%." + Math.min(decimals, 9) + "f", value);
    }

    private static String wholeNumber(long value) {
        return String.format(Locale.ROOT, "%,d", value);
    }
}
