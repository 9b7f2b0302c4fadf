package dev.waxwinghead.daemon.configuration;

import java.util.function.Consumer;

/** Provides the configuration in force on this host. */
public interface ConfigurationView {
    /**
     * Returns the configuration in force on this host now.
     *
     * @return the configuration, never null
     */
    Configuration current();

    /**
     * Registers a listener to call after each change, on the thread that applies the log.
     *
     * @param listener the listener, which receives the new configuration and must not block
     */
    void onChange(Consumer<Configuration> listener);
}
