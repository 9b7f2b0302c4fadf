package dev.waxwinghead.daemon.http;

import com.sun.net.httpserver.HttpExchange;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Counts the requests of a listener that are being read or have no complete response yet. */
final class OpenExchanges {
    private final LongSupplier earliestArrival;

    /** The earliest arrival of the request that the current thread reads or handles. */
    private final ThreadLocal<Long> currentArrival = new ThreadLocal<>();

    private int open;

    /** @param earliestArrival returns the earliest time at which a request can have arrived that is read now */
    OpenExchanges(LongSupplier earliestArrival) {
        this.earliestArrival = earliestArrival;
    }

    /** Returns an executor that counts the server's actions, each of which reads a request, from submission to end. */
    Executor counting(Executor executor) {
        return action -> {
            long arrival = earliestArrival.getAsLong();
            begin();
            try {
                executor.execute(() -> {
                    currentArrival.set(arrival);
                    try {
                        action.run();
                    } finally {
                        currentArrival.remove();
                        end();
                    }
                });
            } catch (RejectedExecutionException e) {
                end();
                throw e;
            }
        };
    }

    /** Returns an exchange that counts as open until its response is complete or it is closed. */
    HttpExchange track(HttpExchange exchange) {
        begin();
        return new TrackedExchange(exchange, currentArrival.get(), this::end);
    }

    private synchronized void begin() {
        open++;
    }

    private synchronized void end() {
        open--;
        if (open == 0) {
            notifyAll();
        }
    }

    /**
     * Waits until no request is open.
     *
     * @return the number of open requests when the wait ended: 0, unless the deadline passed or the thread was
     *     interrupted
     */
    synchronized int awaitNone(Deadline deadline, Ticker ticker) {
        try {
            while (open > 0 && !deadline.passed(ticker)) {
                TimeUnit.NANOSECONDS.timedWait(this, deadline.remaining(ticker).toNanos());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return open;
    }
}
