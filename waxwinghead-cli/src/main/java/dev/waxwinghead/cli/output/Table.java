package dev.waxwinghead.cli.output;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Formats rows of text in aligned columns.
 *
 * @since 0.1
 */
public final class Table {
    private static final String GAP = "  ";
    private static final String ABSENT = "-";

    private final List<List<String>> rows = new ArrayList<>();
    private final int columns;

    private Table(List<String> headers) {
        this.columns = headers.size();
        rows.add(headers);
    }

    /**
     * Returns a table without rows.
     *
     * @param headers the headers of the columns
     * @return the table, never null
     */
    public static Table of(String... headers) {
        return new Table(List.of(headers));
    }

    /**
     * Adds a row.
     *
     * @param cells one value for each column; null and empty values are shown as a dash
     * @return this table
     */
    public Table row(Object... cells) {
        if (cells.length != columns) {
            throw new IllegalArgumentException("got " + cells.length + " cells for " + columns + " columns");
        }
        List<String> row = new ArrayList<>();
        for (Object cell : cells) {
            String text = Objects.toString(cell, ABSENT);
            row.add(text.isEmpty() ? ABSENT : text);
        }
        rows.add(row);
        return this;
    }

    /**
     * Returns the formatted table.
     *
     * @return the text, with a line break after each line; never null
     */
    public String text() {
        int[] widths = new int[columns];
        for (List<String> row : rows) {
            for (int i = 0; i < columns; i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        StringBuilder text = new StringBuilder();
        for (List<String> row : rows) {
            text.append(line(row, widths)).append('\n');
        }
        return text.toString();
    }

    private static String line(List<String> row, int[] widths) {
        StringBuilder line = new StringBuilder();
        for (int i = 0; i < row.size(); i++) {
            line.append(row.get(i)).append(" ".repeat(widths[i] - row.get(i).length()));
            line.append(GAP);
        }
        return line.toString().stripTrailing();
    }
}
