package dev.waxwinghead.daemon.callers;

import java.time.Duration;

/** Repeats a check until it passes or ten seconds have elapsed. */
final class Eventually {
    private static final long LIMIT_NANOS = Duration.ofSeconds(10).toNanos();

    private Eventually() {}

    /** A check that fails by throwing an {@link AssertionError}. */
    interface Check {
        void run() throws Exception;
    }

    static void check(Check check) throws Exception {
        long start = System.nanoTime();
        while (true) {
            try {
                check.run();
                return;
            } catch (AssertionError e) {
                if (System.nanoTime() - start > LIMIT_NANOS) {
                    throw e;
                }
                Thread.sleep(20);
            }
        }
    }
}
