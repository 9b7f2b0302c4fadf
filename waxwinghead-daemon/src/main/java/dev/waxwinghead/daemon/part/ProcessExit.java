package dev.waxwinghead.daemon.part;

import dev.waxwinghead.daemon.log.BoundedConsoleHandler;
import dev.waxwinghead.daemon.log.Event;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Ends the process without running further shutdown hooks.
 *
 * <p>A process that neither works nor exits would not be started anew. Therefore a shutdown has a time limit, after
 * which the process ends although resources are still being closed, for example because a disk hangs.
 */
public final class ProcessExit {
    private static final int MAX_FRAMES = 16;

    /** How long the last log lines may take; a reader of standard output that has stopped reading takes forever. */
    private static final Duration LOG_LIMIT = Duration.ofMillis(500);

    private ProcessExit() {}

    /**
     * Halts the process after a time limit unless it has ended before, and logs what its threads wait for. Call this
     * after draining, before resources are closed.
     *
     * @param limit the time limit
     * @param exitStatus the exit status of the process
     */
    public static void haltAfter(Duration limit, int exitStatus) {
        Thread thread = new Thread(() -> watch(limit, exitStatus), "shutdown-watchdog");
        thread.setDaemon(true);
        thread.start();
    }

    private static void watch(Duration limit, int exitStatus) {
        try {
            TimeUnit.NANOSECONDS.sleep(limit.toNanos());
        } catch (InterruptedException e) {
            Event.of("shutdown-not-watched").with("failure", e).write();
            return;
        }
        try {
            Event.of("shutdown-overdue").with("limitMillis", limit.toMillis()).write();
            Thread.getAllStackTraces().forEach(ProcessExit::logIfAwaited);
        } finally {
            halt(exitStatus);
        }
    }

    /**
     * Halts the process once its log lines are written.
     *
     * @param exitStatus the exit status of the process
     */
    public static void halt(int exitStatus) {
        BoundedConsoleHandler.awaitWritten(LOG_LIMIT);
        Runtime.getRuntime().halt(exitStatus);
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
