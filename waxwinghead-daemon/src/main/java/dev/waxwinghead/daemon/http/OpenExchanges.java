package dev.waxwinghead.daemon.http;

import com.sun.net.httpserver.HttpExchange;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Holds the requests of a listener that are being read or have no complete response yet. */
final class OpenExchanges {
    /** The age from which a request counts as waiting; others are answered at once. */
    private static final long WAITING_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** How long to wait for a moment without any request, if none of them waits. */
    private static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private static final long CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private final LongSupplier earliestArrival;

    /** The earliest arrival of the request that the current thread reads or handles. */
    private final ThreadLocal<Long> currentArrival = new ThreadLocal<>();

    /** The open requests, in the order in which they were begun. Guarded by this object's monitor. */
    private final Set<OpenRequest> open = new LinkedHashSet<>();

    /** @param earliestArrival returns the earliest time at which a request can have arrived that is read now */
    OpenExchanges(LongSupplier earliestArrival) {
        this.earliestArrival = earliestArrival;
    }

    /** Returns an executor that holds the server's actions, each of which reads a request, from submission to end. */
    Executor counting(Executor executor) {
        return action -> {
            long arrival = earliestArrival.getAsLong();
            OpenRequest request = begin();
            try {
                executor.execute(() -> {
                    currentArrival.set(arrival);
                    try {
                        action.run();
                    } finally {
                        currentArrival.remove();
                        end(request);
                    }
                });
            } catch (RejectedExecutionException e) {
                end(request);
                throw e;
            }
        };
    }

    /** Returns an exchange that is open until its response is complete or it is closed. */
    HttpExchange track(HttpExchange exchange) {
        OpenRequest request = begin();
        return new TrackedExchange(exchange, currentArrival.get(), () -> end(request));
    }

    private synchronized OpenRequest begin() {
        OpenRequest request = new OpenRequest(Ticker.system().nanos());
        open.add(request);
        return request;
    }

    private synchronized void end(OpenRequest request) {
        open.remove(request);
        if (open.isEmpty()) {
            notifyAll();
        }
    }

    /**
     * Waits until no request waits for its response. Under constant load, some requests may have just been begun.
     *
     * @return 0, or the number of open requests if the deadline passed or the thread was interrupted
     */
    synchronized int awaitNoneWaiting(Deadline deadline, Ticker ticker) {
        long startNanos = ticker.nanos();
        try {
            while (!open.isEmpty() && !deadline.passed(ticker)) {
                if (ticker.nanos() - startNanos >= SETTLE_NANOS && !waits()) {
                    return 0;
                }
                long nanos = Math.min(CHECK_NANOS, deadline.remaining(ticker).toNanos());
                TimeUnit.NANOSECONDS.timedWait(this, nanos);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return open.size();
    }

    private boolean waits() {
        long ageNanos = Ticker.system().nanos() - open.iterator().next().beganNanos;
        return ageNanos >= WAITING_NANOS;
    }

    /** A request that is told from others by its identity. */
    private static final class OpenRequest {
        private final long beganNanos;

        OpenRequest(long beganNanos) {
            this.beganNanos = beganNanos;
        }
    }
}
