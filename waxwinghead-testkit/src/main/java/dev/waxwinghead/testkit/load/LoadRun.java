package dev.waxwinghead.testkit.load;

import java.net.http.HttpClient;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Executes a {@link LoadPlan}.
 *
 * <p>In an open loop, the latency of a request counts from the time at which it was due, so that a stall is included in
 * the latency of every request that it delays; see G. Tene, "How NOT to Measure Latency".
 */
final class LoadRun {
    private static final long MAX_MICROS = TimeUnit.HOURS.toMicros(1);
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    private final LoadPlan plan;
    private final HttpClient client;
    private final Semaphore permits;
    private final Histogram micros = new ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private final SortedMap<String, Long> outcomes = new TreeMap<>();
    private final AtomicLong connectRetries = new AtomicLong();

    private LoadRun(LoadPlan plan) {
        this.plan = plan;
        this.client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(CONNECT_TIMEOUT)
                .build();
        this.permits = new Semaphore(plan.concurrency());
    }

    static LoadSummary execute(LoadPlan plan) throws InterruptedException {
        return new LoadRun(plan).run();
    }

    private LoadSummary run() throws InterruptedException {
        long startNanos = System.nanoTime();
        long endNanos = startNanos + plan.duration().toNanos();
        long number = 0;
        while (System.nanoTime() - endNanos < 0) {
            long dueNanos = plan.openLoop() ? awaitDue(startNanos, number) : 0;
            permits.acquire();
            send(LoadRequest.of(plan, number), 0, plan.openLoop() ? dueNanos : System.nanoTime());
            number++;
        }
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        permits.acquire(plan.concurrency());
        return summary(number, seconds);
    }

    private long awaitDue(long startNanos, long number) throws InterruptedException {
        long dueNanos = startNanos + (long) (number / plan.ratePerSecond() * 1e9);
        long pause = dueNanos - System.nanoTime();
        if (pause > 0) {
            TimeUnit.NANOSECONDS.sleep(pause);
        }
        return dueNanos;
    }

    private void send(LoadRequest request, int attempt, long fromNanos) {
        client.sendAsync(request.toHttpRequest(attempt), HttpResponse.BodyHandlers.ofByteArray())
                .whenComplete((response, failure) -> finish(request, attempt, fromNanos, response, failure))
                .exceptionally(failure -> null);
    }

    private void finish(
            LoadRequest request, int attempt, long fromNanos, HttpResponse<byte[]> response, Throwable failure) {
        boolean hasNextHost = attempt + 1 < plan.entryHosts().size();
        if (failure != null && hasNextHost && ResponseCheck.isConnectFailure(failure)) {
            connectRetries.incrementAndGet();
            send(request, attempt + 1, fromNanos);
            return;
        }
        String outcome = failure == null ? ResponseCheck.outcome(request, response) : ResponseCheck.outcome(failure);
        if (outcome.equals(ResponseCheck.ANSWERED)) {
            micros.recordValue(Math.min(MAX_MICROS, (System.nanoTime() - fromNanos) / 1_000));
        }
        synchronized (outcomes) {
            outcomes.merge(outcome, 1L, Long::sum);
        }
        permits.release();
    }

    private LoadSummary summary(long requests, double seconds) {
        synchronized (outcomes) {
            double answered = outcomes.getOrDefault(ResponseCheck.ANSWERED, 0L);
            return new LoadSummary(
                    requests,
                    seconds,
                    answered / seconds,
                    new TreeMap<>(outcomes),
                    connectRetries.get(),
                    LoadSummary.Latency.from(micros));
        }
    }
}
