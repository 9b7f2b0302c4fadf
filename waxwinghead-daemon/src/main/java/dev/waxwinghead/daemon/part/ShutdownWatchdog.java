package dev.waxwinghead.daemon.part;

import dev.waxwinghead.daemon.log.Event;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** Logs what the threads of the process wait for if its shutdown takes too long. */
public final class ShutdownWatchdog {
    private static final int MAX_FRAMES = 16;

    private ShutdownWatchdog() {}

    /**
     * Starts to watch a shutdown. Call this once the remaining steps are expected to take less than the limit.
     *
     * @param limit the time after which the shutdown counts as overdue
     */
    public static void start(Duration limit) {
        Thread thread = new Thread(() -> watch(limit), "shutdown-watchdog");
        thread.setDaemon(true);
        thread.start();
    }

    private static void watch(Duration limit) {
        try {
            TimeUnit.NANOSECONDS.sleep(limit.toNanos());
        } catch (InterruptedException e) {
            Event.of("shutdown-not-watched").with("failure", e).write();
            return;
        }
        Event.of("shutdown-overdue").with("limitMillis", limit.toMillis()).write();
        Thread.getAllStackTraces().forEach(ShutdownWatchdog::logIfAwaited);
    }

    /** Logs the stack of a thread for whose end the shutdown may wait; that is no daemon thread. */
    private static void logIfAwaited(Thread thread, StackTraceElement[] stack) {
        if (thread.isDaemon() || stack.length == 0) {
            return;
        }
        String frames = Arrays.stream(stack)
                .limit(MAX_FRAMES)
                .map(frame -> frame.getClassName() + "." + frame.getMethodName())
                .collect(Collectors.joining(" < "));
        Event.of("shutdown-waits")
                .with("thread", thread.getName())
                .with("state", thread.getState())
                .with("stack", frames)
                .write();
    }
}
