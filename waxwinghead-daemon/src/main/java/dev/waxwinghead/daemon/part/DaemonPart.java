package dev.waxwinghead.daemon.part;

import dev.waxwinghead.daemon.state.StateSection;
import dev.waxwinghead.model.time.Deadline;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * A component of the daemon with its own life cycle, such as the one that serves callers or the one that runs tasks.
 *
 * <p>Life cycle: {@link #sections()} is called before the replicated log starts, {@link #start} once the log is
 * running, {@link #drain} on a graceful shutdown, and {@link #close} at the end.
 */
public interface DaemonPart extends AutoCloseable {
    /**
     * Returns the sections of the shared state that belong to this part.
     *
     * @return the sections, empty if there are none, never null
     */
    List<StateSection> sections();

    /**
     * Starts this part, which registers its routes, handlers, meters and timers.
     *
     * @param context the services shared by all parts
     */
    void start(DaemonContext context);

    /**
     * Stops accepting new work and finishes the work in flight.
     *
     * @param deadline the time at which the process ends at the latest
     * @return a future that completes once no work is in flight
     */
    CompletableFuture<Void> drain(Deadline deadline);

    /**
     * Returns this part's entries in the status of the host.
     *
     * @return JSON-serializable values by name, never null
     */
    Map<String, Object> status();

    @Override
    void close();
}
