package dev.waxwinghead.testkit.worker;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Appends the events of tasks to a file that tests and scripts read.
 *
 * <p>Each line consists of the fields {@code nanos worker incarnation event subject attempt detail}, separated by tabs.
 * The nanoseconds come from the monotonic clock of the machine, so that lines of several processes on one machine can
 * be ordered. Several workers may append to one file. Thread-safe.
 */
final class TaskEventFile implements AutoCloseable {
    private final FileChannel channel;

    private TaskEventFile(FileChannel channel) {
        this.channel = channel;
    }

    /** Opens the file for appending. Events are discarded if the path is null. */
    static TaskEventFile open(Path path) {
        if (path == null) {
            return new TaskEventFile(null);
        }
        try {
            return new TaskEventFile(FileChannel.open(
                    path, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.APPEND));
        } catch (IOException e) {
            throw WaxwingheadException.of(
                    ErrorKind.STORAGE, "could not open the event file " + path, "give a file in an existing folder", e);
        }
    }

    synchronized void append(WorkerDescription worker, String event, String subject, int attempt, String detail) {
        if (channel == null) {
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
            ByteBuffer bytes = ByteBuffer.wrap(line.getBytes(StandardCharsets.UTF_8));
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
        } catch (IOException e) {
            throw WaxwingheadException.of(
                    ErrorKind.STORAGE, "could not write to the event file", "free space on its disk", e);
        }
    }

    @Override
    public synchronized void close() throws IOException {
        if (channel != null) {
            channel.close();
        }
    }
}
