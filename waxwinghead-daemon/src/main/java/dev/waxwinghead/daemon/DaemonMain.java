package dev.waxwinghead.daemon;

import dev.waxwinghead.daemon.settings.DaemonSettings;
import dev.waxwinghead.daemon.settings.SettingsException;
import dev.waxwinghead.daemon.settings.SettingsReader;
import dev.waxwinghead.model.error.WaxwingheadException;
import java.util.List;
import java.util.Optional;
import org.jboss.logging.Logger;

/**
 * The entry point of {@code waxwingheadd}.
 *
 * <p>The exit status is 0 after a graceful shutdown, 2 for invalid settings, and otherwise that of the kind of failure.
 */
public final class DaemonMain {
    /** The exit status for invalid settings. */
    static final int EXIT_USAGE = 2;

    private DaemonMain() {}

    /**
     * Starts the daemon and returns. The process ends on a termination signal, a drain or a storage failure.
     *
     * @param arguments the flags
     */
    public static void main(String[] arguments) {
        HttpServerProperties.apply();
        Optional<DaemonSettings> settings = readSettings(arguments);
        if (settings.isPresent()) {
            start(settings.get());
        }
    }

    private static Optional<DaemonSettings> readSettings(String[] arguments) {
        try {
            return SettingsReader.read(List.of(arguments), System.getenv());
        } catch (SettingsException e) {
            e.problems().forEach(problem -> System.err.println("waxwingheadd: " + problem));
            System.exit(EXIT_USAGE);
            return Optional.empty();
        }
    }

    private static void start(DaemonSettings settings) {
        try {
            Daemon daemon = Daemon.start(settings);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDownGracefully(daemon), "shutdown"));
            daemon.ended().thenAccept(System::exit).exceptionally(DaemonMain::exitOnFailure);
        } catch (WaxwingheadException e) {
            Logger.getLogger(DaemonMain.class)
                    .errorf("event=start-failed kind=%s message=%s", e.kind(), e.getMessage());
            System.err.println("waxwingheadd: " + e.getMessage());
            System.exit(e.kind().exitStatus());
        }
    }

    private static Void exitOnFailure(Throwable failure) {
        System.exit(WaxwingheadException.from(failure).kind().exitStatus());
        return null;
    }

    /**
     * Drains the daemon on a termination signal. Halts with status 0, since the virtual machine would otherwise exit
     * with the status of the signal.
     */
    private static void shutDownGracefully(Daemon daemon) {
        if (!daemon.hasEnded()) {
            daemon.drain();
            Runtime.getRuntime().halt(0);
        }
    }
}
