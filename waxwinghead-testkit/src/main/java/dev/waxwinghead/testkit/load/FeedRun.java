package dev.waxwinghead.testkit.load;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.http.HttpClient;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Executes a {@link LoadPlan} of feeds: keeps feeds open, each on its own thread, and reopens a feed that has ended.
 *
 * <p>A feed counts as answered once its first event has arrived; the latency is the time until that event.
 */
final class FeedRun {
    /** Outcome of a feed that had no event before the end of the run; such feeds are not counted. */
    private static final String UNFINISHED = "unfinished";

    private static final String EVENT_START = "data:";
    private static final long MAX_MICROS = 3_600_000_000L;
    private static final Duration REOPEN_PAUSE = Duration.ofMillis(200);
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(5);

    private final LoadPlan plan;
    private final HttpClient client;
    private final Histogram micros = new ConcurrentHistogram(MAX_MICROS, 3);
    private final SortedMap<String, Long> outcomes = new TreeMap<>();
    private final AtomicLong requests = new AtomicLong();
    private volatile boolean finished;

    private FeedRun(LoadPlan plan) {
        this.plan = plan;
        this.client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    }

    static LoadSummary execute(LoadPlan plan) throws InterruptedException {
        return new FeedRun(plan).run();
    }

    private LoadSummary run() throws InterruptedException {
        List<Thread> feeds = new ArrayList<>();
        for (int i = 0; i < plan.concurrency(); i++) {
            Thread feed = new Thread(this::keepFeedOpen, "feed-" + i);
            feed.setDaemon(true);
            feed.start();
            feeds.add(feed);
        }
        Thread.sleep(plan.duration().toMillis());
        finished = true;
        for (Thread feed : feeds) {
            feed.join(CLOSE_TIMEOUT.toMillis());
        }
        double seconds = plan.duration().toMillis() / 1_000.0;
        synchronized (outcomes) {
            long answered = outcomes.getOrDefault(ResponseCheck.ANSWERED, 0L);
            return new LoadSummary(
                    requests.get(),
                    seconds,
                    answered / seconds,
                    new TreeMap<>(outcomes),
                    0,
                    LoadSummary.Latency.from(micros));
        }
    }

    private void keepFeedOpen() {
        while (!finished) {
            String outcome = readFeed(requests.getAndIncrement());
            if (outcome.equals(UNFINISHED)) {
                requests.decrementAndGet();
                return;
            }
            synchronized (outcomes) {
                outcomes.merge(outcome, 1L, Long::sum);
            }
            if (!outcome.equals(ResponseCheck.ANSWERED)) {
                pause();
            }
        }
    }

    private static void pause() {
        try {
            Thread.sleep(REOPEN_PAUSE.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String readFeed(long number) {
        long startNanos = System.nanoTime();
        boolean awaitingFirstEvent = true;
        try {
            HttpResponse<java.io.InputStream> response = client.send(
                    LoadRequest.of(plan, number).toHttpRequest(0), HttpResponse.BodyHandlers.ofInputStream());
            try (BufferedReader lines =
                    new BufferedReader(new InputStreamReader(response.body(), StandardCharsets.UTF_8))) {
                for (String line = lines.readLine(); line != null && !finished; line = lines.readLine()) {
                    if (awaitingFirstEvent && line.startsWith(EVENT_START)) {
                        micros.recordValue(Math.min(MAX_MICROS, (System.nanoTime() - startNanos) / 1_000));
                        awaitingFirstEvent = false;
                    }
                }
            }
            if (!awaitingFirstEvent) {
                return ResponseCheck.ANSWERED;
            }
            return finished && response.statusCode() == 200 ? UNFINISHED : "refused-" + response.statusCode();
        } catch (IOException e) {
            return awaitingFirstEvent ? ResponseCheck.outcome(e) : ResponseCheck.BROKEN;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ResponseCheck.BROKEN;
        }
    }
}
