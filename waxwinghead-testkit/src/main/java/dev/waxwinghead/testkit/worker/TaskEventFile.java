package dev.waxwinghead.testkit.worker;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * Appends the events of tasks to a file that tests and scripts read.
 *
 * <p>Each line consists of the fields {@code nanos worker incarnation event subject attempt detail}, separated by tabs.
 * The nanoseconds come from the monotonic clock of the machine, so that lines of several processes on one machine can
 * be ordered. Several workers may append to one file. Thread-safe.
 */
final class TaskEventFile implements AutoCloseable {
    /** Not a channel, which an interrupted thread would close for all others; null to discard events. */
    private final OutputStream output;

    private TaskEventFile(OutputStream output) {
        this.output = output;
    }

    /** Opens the file for appending. Events are discarded if the path is null. */
    static TaskEventFile open(Path path) {
        if (path == null) {
            return new TaskEventFile(null);
        }
        try {
            return new TaskEventFile(new FileOutputStream(path.toFile(), true));
        } catch (IOException e) {
            throw WaxwingheadException.of(
                    ErrorKind.STORAGE, "could not open the event file " + path, "give a file in an existing folder", e);
        }
    }

    synchronized void append(WorkerDescription worker, String event, String subject, int attempt, String detail) {
        if (output == null) {
            return;
        }
        String line = String.join(
                        "\t",
                        Long.toString(System.nanoTime()),
                        worker.id().value(),
                        Long.toString(worker.incarnation()),
                        event,
                        subject,
                        Integer.toString(attempt),
                        detail == null ? "" : detail)
                + "\n";
        try {
            output.write(line.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw WaxwingheadException.of(
                    ErrorKind.STORAGE, "could not write to the event file", "free space on its disk", e);
        }
    }

    @Override
    public synchronized void close() throws IOException {
        if (output != null) {
            output.close();
        }
    }
}
