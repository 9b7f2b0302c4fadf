package dev.waxwinghead.daemon.log;

import org.jboss.logging.Logger;

/**
 * Builds one structured log line.
 *
 * <p>A line is a JSON object that starts with the time and the event's name. Nothing is built while the log level is
 * off.
 */
public final class Event {
    /** The category of all structured lines. */
    public static final String CATEGORY = "dev.waxwinghead.events";

    private static final Logger LOG = Logger.getLogger(CATEGORY);
    private static final int USUAL_LENGTH = 200;

    private final StringBuilder line;

    private Event(String name) {
        this.line = LOG.isInfoEnabled() ? new StringBuilder(USUAL_LENGTH) : null;
        if (line != null) {
            line.append("{\"at\":").append(System.currentTimeMillis());
            with("event", name);
        }
    }

    /**
     * Starts a line.
     *
     * @param name the event, in lower case with hyphens
     * @return the builder, never null
     */
    public static Event of(String name) {
        return new Event(name);
    }

    /**
     * Adds a field.
     *
     * @param field the field's name
     * @param value the value; its text is written
     * @return this builder
     */
    public Event with(String field, Object value) {
        if (line != null) {
            name(field);
            line.append('"');
            JsonText.escape(String.valueOf(value), line);
            line.append('"');
        }
        return this;
    }

    /**
     * Adds a whole number.
     *
     * @param field the field's name
     * @param value the number
     * @return this builder
     */
    public Event with(String field, long value) {
        if (line != null) {
            name(field);
            line.append(value);
        }
        return this;
    }

    /** Hands the line to the log. */
    public void write() {
        if (line != null) {
            LOG.info(line.append('}').toString());
        }
    }

    private void name(String field) {
        line.append(",\"").append(field).append("\":");
    }
}
