package dev.waxwinghead.daemon.log;

import static com.google.common.truth.Truth.assertThat;

import java.io.OutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class BoundedConsoleHandlerTests {
    @Test
    @Timeout(20)
    void neverBlocksWhenTheReaderStopsAndCountsDroppedLines() throws InterruptedException {
        CountDownLatch reading = new CountDownLatch(1);
        CountDownLatch stuck = new CountDownLatch(1);
        PrintStream blocked = new PrintStream(new OutputStream() {
            @Override
            public void write(int value) {
                stuck.countDown();
                awaitQuietly(reading);
            }
        });
        long before = BoundedConsoleHandler.dropped();
        BoundedConsoleHandler handler = new BoundedConsoleHandler(blocked, 10);
        handler.setFormatter(new LineFormatter());
        handler.publish(record());
        assertThat(stuck.await(10, TimeUnit.SECONDS)).isTrue();
        for (int i = 0; i < 100; i++) {
            handler.publish(record());
        }
        assertThat(BoundedConsoleHandler.dropped() - before).isEqualTo(90);
        assertThat(BoundedConsoleHandler.awaitWritten(Duration.ofMillis(50))).isFalse();
        reading.countDown();
        assertThat(BoundedConsoleHandler.awaitWritten(Duration.ofSeconds(10))).isTrue();
        handler.close();
    }

    private static LogRecord record() {
        LogRecord record = new LogRecord(Level.INFO, "{}");
        record.setLoggerName(Event.CATEGORY);
        return record;
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
