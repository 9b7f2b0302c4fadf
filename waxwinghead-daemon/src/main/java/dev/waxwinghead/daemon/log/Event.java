package dev.waxwinghead.daemon.log;

import org.jboss.logging.Logger;

/**
 * Builds a structured log line.
 *
 * <p>A line is a JSON object that starts with the time and the name of the event. No line is built if the log level is
 * disabled.
 */
public final class Event {
    /** The logger category of all structured lines. */
    public static final String CATEGORY = "dev.waxwinghead.events";

    private static final Logger LOG = Logger.getLogger(CATEGORY);
    private static final int INITIAL_CAPACITY = 200;

    private final StringBuilder line;

    private Event(String name) {
        this.line = LOG.isInfoEnabled() ? new StringBuilder(INITIAL_CAPACITY) : null;
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
     * Adds a field with a text value.
     *
     * @param field the name of the field
     * @param value the value, written as returned by {@link String#valueOf(Object)}
     * @return this builder
     */
    public Event with(String field, Object value) {
        if (line != null) {
            appendName(field);
            line.append('"');
            JsonText.escape(String.valueOf(value), line);
            line.append('"');
        }
        return this;
    }

    /**
     * Adds a field with an integer value.
     *
     * @param field the name of the field
     * @param value the value
     * @return this builder
     */
    public Event with(String field, long value) {
        if (line != null) {
            appendName(field);
            line.append(value);
        }
        return this;
    }

    /** Writes the line to the log. */
    public void write() {
        if (line != null) {
            LOG.info(line.append('}').toString());
        }
    }

    private void appendName(String field) {
        line.append(",\"").append(field).append("\":");
    }
}
