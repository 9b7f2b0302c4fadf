package dev.waxwinghead.daemon.configuration;

import java.util.function.Consumer;

/** Gives the configuration in force on this host. */
public interface ConfigurationView {
    /**
     * Returns the configuration in force on this host now.
     *
     * @return the configuration, never null
     */
    Configuration current();

    /**
     * Calls the listener after each change, on the thread that applies the log. It must not block.
     *
     * @param listener receives the new configuration
     */
    void onChange(Consumer<Configuration> listener);
}
