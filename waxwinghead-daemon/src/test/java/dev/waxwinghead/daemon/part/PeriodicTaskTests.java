package dev.waxwinghead.daemon.part;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.model.lifecycle.Closer;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PeriodicTaskTests {
    private final Closer closer = Closer.create();

    @AfterEach
    void close() {
        closer.close();
    }

    @Test
    void runsAgainAfterAnError() throws InterruptedException {
        CountDownLatch runs = new CountDownLatch(3);
        closer.register(PeriodicTask.start(ThreadPools.timer("test", 1, closer), 10, "failing", () -> {
            runs.countDown();
            throw new StackOverflowError("deep action");
        }));
        assertThat(runs.await(5, TimeUnit.SECONDS)).isTrue();
    }
}
