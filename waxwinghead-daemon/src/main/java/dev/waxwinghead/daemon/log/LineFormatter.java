package dev.waxwinghead.daemon.log;

import java.util.logging.Formatter;
import java.util.logging.LogRecord;
import org.jboss.logmanager.ExtLogRecord;

/** Formats structured lines unchanged, and every other record as a JSON object with its level and message. */
public final class LineFormatter extends Formatter {
    /** Creates the formatter; called by the log manager. */
    public LineFormatter() {}

    @Override
    public String format(LogRecord record) {
        String message = message(record);
        if (Event.CATEGORY.equals(record.getLoggerName())) {
            return message + "\n";
        }
        StringBuilder line = new StringBuilder(message.length() + 100);
        line.append("{\"at\":").append(record.getMillis());
        appendField(line, "level", record.getLevel().getName());
        appendField(line, "logger", String.valueOf(record.getLoggerName()));
        appendField(line, "message", message);
        if (record.getThrown() != null) {
            appendField(line, "exception", stackTrace(record.getThrown()));
        }
        return line.append("}\n").toString();
    }

    private static String message(LogRecord record) {
        Object[] parameters = record.getParameters();
        String text = String.valueOf(record.getMessage());
        boolean printf = record instanceof ExtLogRecord ext && ext.getFormatStyle() == ExtLogRecord.FormatStyle.PRINTF;
        return printf && parameters != null ? String.format(text, parameters) : text;
    }

    private static String stackTrace(Throwable thrown) {
        java.io.StringWriter text = new java.io.StringWriter();
        thrown.printStackTrace(new java.io.PrintWriter(text));
        return text.toString();
    }

    private static void appendField(StringBuilder line, String name, String value) {
        line.append(",\"").append(name).append("\":\"");
        JsonText.escape(value, line);
        line.append('"');
    }
}
