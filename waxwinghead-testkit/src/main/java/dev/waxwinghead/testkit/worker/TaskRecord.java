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
 * Appends what tasks did to a file that tests read.
 *
 * <p>Each line is {@code nanos worker incarnation event subject attempt detail}, separated by tabs. The nanoseconds are
 * those of the machine's monotonic clock, so that the lines of several processes on one machine can be put in order.
 * Several workers may append to one file. Thread-safe.
 */
final class TaskRecord implements AutoCloseable {
    private final FileChannel channel;

    private TaskRecord(FileChannel channel) {
        this.channel = channel;
    }

    /** Opens the file for appending; a null path records nothing. */
    static TaskRecord open(Path path) {
        if (path == null) {
            return new TaskRecord(null);
        }
        try {
            return new TaskRecord(FileChannel.open(
                    path, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.APPEND));
        } catch (IOException e) {
            throw WaxwingheadException.of(
                    ErrorKind.STORAGE, "can't open the record " + path, "name a file in a folder that exists", e);
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
                    ErrorKind.STORAGE, "the record can't be written", "free space on its disk", e);
        }
    }

    @Override
    public synchronized void close() throws IOException {
        if (channel != null) {
            channel.close();
        }
    }
}
