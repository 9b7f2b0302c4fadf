package dev.waxwinghead.systemtests;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/** Waits for conditions that other processes bring about. */
public final class Await {
    private static final long PAUSE_MILLIS = 50;

    private Await() {}

    /**
     * Waits until a condition holds. A condition that throws does not hold.
     *
     * @param bound the longest time to wait
     * @param what what is waited for, for the failure's message
     * @param condition the condition
     * @throws AssertionError if it does not hold in time
     */
    public static void until(Duration bound, String what, Callable<Boolean> condition) throws InterruptedException {
        long endNanos = System.nanoTime() + bound.toNanos();
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
        throw new AssertionError("not within " + bound + ": " + what, last);
    }
}
