package dev.waxwinghead.daemon.log;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes log lines to standard output on a separate thread.
 *
 * <p>A line that arrives while the queue is full is dropped and counted, so that a reader of standard output that stops
 * reading never blocks the process. The number of dropped lines is written once the queue has room again.
 */
public final class BoundedConsoleHandler extends Handler {
    /** The maximum number of lines that wait to be written: some seconds of a busy process. */
    static final int QUEUE_LENGTH = 8192;

    private static final AtomicLong DROPPED = new AtomicLong();
    private static final AtomicLong UNWRITTEN = new AtomicLong();
    private static final long WRITTEN_CHECK_MILLIS = 5;
    private static final long CLOSE_TIMEOUT_SECONDS = 1;

    private final BlockingQueue<String> lines;
    private final PrintStream out;
    private final Thread writer;
    private volatile boolean closed;
    private long reportedDrops;

    /** Creates a handler that writes to standard output. */
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
     * Returns the number of lines dropped since the process started.
     *
     * @return the number of lines, 0 or more
     */
    public static long dropped() {
        return DROPPED.get();
    }

    /**
     * Waits until all lines have been written. Call this before the process is halted, which drops the others.
     *
     * @param limit the longest time to wait
     * @return false if lines were left at the limit, or the thread was interrupted
     */
    public static boolean awaitWritten(Duration limit) {
        long endNanos = System.nanoTime() + limit.toNanos();
        while (UNWRITTEN.get() > 0) {
            if (System.nanoTime() - endNanos >= 0) {
                return false;
            }
            try {
                TimeUnit.MILLISECONDS.sleep(WRITTEN_CHECK_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        return true;
    }

    @Override
    public void publish(LogRecord record) {
        if (!isLoggable(record)) {
            return;
        }
        UNWRITTEN.incrementAndGet();
        if (!lines.offer(getFormatter().format(record))) {
            UNWRITTEN.decrementAndGet();
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
            writer.join(TimeUnit.SECONDS.toMillis(CLOSE_TIMEOUT_SECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void writeAll() {
        StringBuilder batch = new StringBuilder();
        while (!closed || !lines.isEmpty()) {
            int count = takeBatch(batch);
            reportDrops(batch);
            byte[] bytes = batch.toString().getBytes(StandardCharsets.UTF_8);
            out.write(bytes, 0, bytes.length);
            out.flush();
            batch.setLength(0);
            UNWRITTEN.addAndGet(-count);
        }
    }

    /** Appends the queued lines, after waiting for the first. Returns their number. */
    private int takeBatch(StringBuilder batch) {
        int count = 0;
        try {
            batch.append(lines.take());
            count++;
        } catch (InterruptedException e) {
            closed = true;
        }
        for (String line = lines.poll(); line != null; line = lines.poll()) {
            batch.append(line);
            count++;
        }
        return count;
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
