package dev.waxwinghead.systemtests;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/** Waits for conditions that depend on other processes. */
public final class Await {
    private static final long PAUSE_MILLIS = 50;

    private Await() {}

    /**
     * Waits until a condition holds. An exception of the condition counts as not holding.
     *
     * @param timeout the longest time to wait
     * @param description the condition in words, for the message of a failure
     * @param condition the condition
     * @throws AssertionError if the condition does not hold in time
     */
    public static void until(Duration timeout, String description, Callable<Boolean> condition)
            throws InterruptedException {
        long endNanos = System.nanoTime() + timeout.toNanos();
        Exception last = null;
        do {
            try {
                if (condition.call()) {
                    return;
                }
            } catch (InterruptedException e) {
                throw e;
            } catch (Exception e) {
                last = e;
            }
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        } while (System.nanoTime() - endNanos < 0);
        throw new AssertionError("condition not met within " + timeout + ": " + description, last);
    }
}
