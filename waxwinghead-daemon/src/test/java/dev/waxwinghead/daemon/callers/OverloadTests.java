package dev.waxwinghead.daemon.callers;

import static com.google.common.truth.Truth.assertThat;

import io.micrometer.core.instrument.Counter;
import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class OverloadTests {
    private static final long SERVICE_MILLIS = 100;
    private static final int SLOTS = 16;
    private static final int SECONDS = 4;
    private static final int CAPACITY = (int) (SLOTS * SECONDS * 1_000 / SERVICE_MILLIS);
    private static final long DEADLINE_MILLIS = 1_000;

    private final TestCluster cluster = new TestCluster("e1@dc1");
    private final TestHost host = cluster.addAll().get(0);
    private final HttpClient client = HttpClient.newHttpClient();
    private final ExecutorService threads = Executors.newFixedThreadPool(2);
    private final AtomicInteger calls = new AtomicInteger();
    private final List<StubUpstream> upstreams = new ArrayList<>();

    @AfterEach
    void close() {
        threads.shutdownNow();
        cluster.close();
        upstreams.forEach(StubUpstream::close);
    }

    @Test
    void keepsGoodputDeadlinesAndTheQuietTenantAtThreeTimesCapacity() throws Exception {
        startUpstreams(0);
        long quietAlone = maxMillis(collect(send("quiet", 10 * SECONDS)));
        List<CompletableFuture<Answer>> noisy = send("noisy", 3 * CAPACITY);
        List<CompletableFuture<Answer>> quiet = send("quiet", 10 * SECONDS);
        List<Answer> noisyAnswers = collect(noisy);
        List<Answer> quietAnswers = collect(quiet);
        List<Answer> answered = new ArrayList<>(noisyAnswers);
        answered.addAll(quietAnswers);
        answered.removeIf(answer -> answer.status != 200);
        assertThat(answered.size()).isAtLeast(CAPACITY * 9 / 10);
        assertThat(maxMillis(answered)).isAtMost(DEADLINE_MILLIS + 100);
        assertThat(noisyAnswers.stream().filter(answer -> answer.status == 504).count())
                .isAtMost(noisyAnswers.size() / 100);
        assertThat(quietAnswers.stream().allMatch(answer -> answer.status == 200))
                .isTrue();
        assertThat(maxMillis(quietAnswers)).isAtMost(2 * quietAlone);
        assertThat(attempts()).isAtMost(requests() * 11 / 10);
    }

    @Test
    void keepsAttemptsWithinTheBudgetWhileManyAnswersBreakOff() throws Exception {
        startUpstreams(3);
        List<Answer> answers = collect(send("noisy", CAPACITY / 2));
        assertThat(answers).hasSize(CAPACITY / 2);
        assertThat(attempts()).isGreaterThan(answers.size());
        assertThat(attempts()).isAtMost(answers.size() * 11 / 10 + 10);
    }

    /** Starts two upstreams. If the interval is above 0, they break the connection of one request in each interval. */
    private void startUpstreams(int breakInterval) throws IOException {
        for (int i = 0; i < 2; i++) {
            upstreams.add(StubUpstream.start(host, "u" + i, exchange -> {
                pause();
                if (breakInterval > 0 && calls.incrementAndGet() % breakInterval == 0) {
                    throw new IOException("break the connection");
                }
                StubUpstream.reply(exchange, 200, "ok");
            }));
        }
    }

    /** Sends requests at a constant rate over {@link #SECONDS}, regardless of the progress of earlier requests. */
    private List<CompletableFuture<Answer>> send(String tenant, int count) {
        List<CompletableFuture<Answer>> sent = new ArrayList<>();
        long interval = TimeUnit.SECONDS.toNanos(SECONDS) / count;
        for (int i = 0; i < count; i++) {
            Executor later = CompletableFuture.delayedExecutor(i * interval, TimeUnit.NANOSECONDS, threads);
            sent.add(CompletableFuture.completedFuture(tenant).thenComposeAsync(this::sendNow, later));
        }
        return sent;
    }

    private CompletableFuture<Answer> sendNow(String tenant) {
        long start = System.nanoTime();
        HttpRequest request = host.request("/q")
                .header("Waxwinghead-Tenant", tenant)
                .header("Waxwinghead-Deadline-Ms", Long.toString(DEADLINE_MILLIS))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .handle((response, failure) -> new Answer(
                        failure == null ? response.statusCode() : 0, (System.nanoTime() - start) / 1_000_000));
    }

    private record Answer(int status, long millis) {}

    private static List<Answer> collect(List<CompletableFuture<Answer>> sent) {
        return new ArrayList<>(sent.stream().map(CompletableFuture::join).toList());
    }

    private static long maxMillis(List<Answer> answers) {
        return answers.stream().mapToLong(Answer::millis).max().orElseThrow();
    }

    private int attempts() {
        return count("waxwinghead.upstream.attempts");
    }

    private int requests() {
        return count("waxwinghead.caller.requests");
    }

    private int count(String name) {
        return (int) host.meters().find(name).counters().stream()
                .mapToDouble(Counter::count)
                .sum();
    }

    private static void pause() {
        try {
            Thread.sleep(SERVICE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
