package dev.waxwinghead.daemon.log;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes log lines to standard output on a thread of its own.
 *
 * <p>A line that finds the queue full is dropped and counted: a reader that stops reading never holds the program up.
 * The number of dropped lines is written once there is room again.
 */
public final class BoundedConsoleHandler extends Handler {
    /** How many lines may wait to be written: some seconds of a busy process. */
    static final int QUEUE_LENGTH = 8192;

    private static final AtomicLong DROPPED = new AtomicLong();
    private static final long FLUSH_SECONDS = 1;

    private final BlockingQueue<String> lines;
    private final PrintStream out;
    private final Thread writer;
    private volatile boolean closed;
    private long reportedDrops;

    /** Writes to standard output. */
    public BoundedConsoleHandler() {
        this(System.out, QUEUE_LENGTH);
    }

    BoundedConsoleHandler(PrintStream out, int queueLength) {
        this.out = out;
        this.lines = new ArrayBlockingQueue<>(queueLength);
        this.writer = new Thread(this::writeAll, "log-writer");
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Returns how many lines were dropped.
     *
     * @return the number since the process started
     */
    public static long dropped() {
        return DROPPED.get();
    }

    @Override
    public void publish(LogRecord record) {
        if (isLoggable(record) && !lines.offer(getFormatter().format(record))) {
            DROPPED.incrementAndGet();
        }
    }

    @Override
    public void flush() {
        out.flush();
    }

    @Override
    public void close() {
        closed = true;
        writer.interrupt();
        try {
            writer.join(TimeUnit.SECONDS.toMillis(FLUSH_SECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void writeAll() {
        StringBuilder batch = new StringBuilder();
        while (!closed || !lines.isEmpty()) {
            takeBatch(batch);
            reportDrops(batch);
            byte[] bytes = batch.toString().getBytes(StandardCharsets.UTF_8);
            out.write(bytes, 0, bytes.length);
            out.flush();
            batch.setLength(0);
        }
    }

    private void takeBatch(StringBuilder batch) {
        try {
            batch.append(lines.take());
        } catch (InterruptedException e) {
            closed = true;
        }
        for (String line = lines.poll(); line != null; line = lines.poll()) {
            batch.append(line);
        }
    }

    private void reportDrops(StringBuilder batch) {
        long now = DROPPED.get();
        if (now > reportedDrops) {
            batch.append("{\"event\":\"log-lines-dropped\",\"total\":")
                    .append(now)
                    .append("}\n");
            reportedDrops = now;
        }
    }
}
