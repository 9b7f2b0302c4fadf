package dev.waxwinghead.daemon.part;

import dev.waxwinghead.daemon.state.StateSection;
import dev.waxwinghead.model.time.Deadline;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * One concern of the daemon, such as serving callers or running tasks.
 *
 * <p>Life cycle: {@link #sections()} before the log starts, {@link #start} once it runs, {@link #drain} on a graceful
 * shutdown, {@link #close} at the end.
 */
public interface DaemonPart extends AutoCloseable {
    /**
     * Returns the part's sections of the shared state.
     *
     * @return the sections, empty if it has none
     */
    List<StateSection> sections();

    /**
     * Starts the part: registers its routes, handlers, meters and timers.
     *
     * @param context what the part may use
     */
    void start(DaemonContext context);

    /**
     * Stops taking new work and finishes what is in flight.
     *
     * @param deadline when the process ends at the latest
     * @return completes once nothing is in flight
     */
    CompletableFuture<Void> drain(Deadline deadline);

    /**
     * Returns the part's lines for the host's status.
     *
     * @return names and JSON-ready values, never null
     */
    Map<String, Object> status();

    @Override
    void close();
}
