package dev.waxwinghead.daemon.log;

import java.util.logging.Formatter;
import java.util.logging.LogRecord;
import org.jboss.logmanager.ExtLogRecord;

/** Writes structured lines as they are, and every other record as a JSON object with its level and message. */
public final class LineFormatter extends Formatter {
    /** Lets the log manager create the formatter. */
    public LineFormatter() {}

    @Override
    public String format(LogRecord record) {
        String message = message(record);
        if (Event.CATEGORY.equals(record.getLoggerName())) {
            return message + "\n";
        }
        StringBuilder line = new StringBuilder(message.length() + 100);
        line.append("{\"at\":").append(record.getMillis());
        field(line, "level", record.getLevel().getName());
        field(line, "logger", String.valueOf(record.getLoggerName()));
        field(line, "message", message);
        if (record.getThrown() != null) {
            field(line, "exception", trace(record.getThrown()));
        }
        return line.append("}\n").toString();
    }

    private static String message(LogRecord record) {
        Object[] parameters = record.getParameters();
        String text = String.valueOf(record.getMessage());
        boolean printf = record instanceof ExtLogRecord ext && ext.getFormatStyle() == ExtLogRecord.FormatStyle.PRINTF;
        return printf && parameters != null ? String.format(text, parameters) : text;
    }

    private static String trace(Throwable thrown) {
        java.io.StringWriter text = new java.io.StringWriter();
        thrown.printStackTrace(new java.io.PrintWriter(text));
        return text.toString();
    }

    private static void field(StringBuilder line, String name, String value) {
        line.append(",\"").append(name).append("\":\"");
        JsonText.escape(value, line);
        line.append('"');
    }
}
