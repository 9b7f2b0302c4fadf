package dev.waxwinghead.cli.output;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Lays out text in columns.
 *
 * @since 0.1
 */
public final class Table {
    private static final String GAP = "  ";
    private static final String ABSENT = "-";

    private final List<List<String>> rows = new ArrayList<>();
    private final int columns;

    private Table(List<String> heads) {
        this.columns = heads.size();
        rows.add(heads);
    }

    /**
     * Returns a table without rows.
     *
     * @param heads the heads of the columns
     * @return the table, never null
     */
    public static Table of(String... heads) {
        return new Table(List.of(heads));
    }

    /**
     * Adds a row.
     *
     * @param cells one value for each column; null shows as a dash
     * @return this table
     */
    public Table row(Object... cells) {
        if (cells.length != columns) {
            throw new IllegalArgumentException("cells has " + cells.length + " values for " + columns + " columns");
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
     * Returns the lines.
     *
     * @return the table's text, each line ended, never null
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
