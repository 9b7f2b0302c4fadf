package dev.waxwinghead.daemon.callers;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import io.micrometer.core.instrument.Counter;
import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ScheduledFuture;
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

    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    /** How long this machine may take for the work of one step of the clock. */
    private static final Duration STEP_TIMEOUT = Duration.ofSeconds(30);

    /** How long free slots are waited for while requests are queued; slots of a broken upstream stay free. */
    private static final Duration DISPATCH_TIMEOUT = Duration.ofMillis(200);

    private final ManualClock clock = new ManualClock();
    private final TestCluster cluster = new TestCluster(clock, "e1@dc1");
    private final TestHost host = cluster.addAll().get(0);
    private final HttpClient client = HttpClient.newHttpClient();
    private final AtomicInteger calls = new AtomicInteger();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final Queue<Long> serviceEnds = new ConcurrentLinkedQueue<>();
    private final List<StubUpstream> upstreams = new ArrayList<>();

    @AfterEach
    void close() {
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
            upstreams.add(StubUpstream.start(host, "u" + i, clock, exchange -> {
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
        List<CompletableFuture<Answer>> answers = new ArrayList<>();
        long interval = TimeUnit.SECONDS.toNanos(SECONDS) / count;
        for (int i = 0; i < count; i++) {
            CompletableFuture<Answer> answer = new CompletableFuture<>();
            answers.add(answer);
            ScheduledFuture<?> unused =
                    clock.timer().schedule(() -> sendNow(tenant, answer), i * interval, TimeUnit.NANOSECONDS);
        }
        return answers;
    }

    private void sendNow(String tenant, CompletableFuture<Answer> answer) {
        long start = clock.nanos();
        sent.incrementAndGet();
        HttpRequest request = host.request("/q")
                .header("Waxwinghead-Tenant", tenant)
                .header("Waxwinghead-Deadline-Ms", Long.toString(DEADLINE_MILLIS))
                .build();
        CompletableFuture<HttpResponse<String>> unused = client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .whenComplete((response, failure) -> {
                    int status = failure == null ? response.statusCode() : 0;
                    answer.complete(new Answer(status, (clock.nanos() - start) / 1_000_000));
                    answered.incrementAndGet();
                });
    }

    private record Answer(int status, long millis) {}

    /** Moves the clock until all answers are there, and lets the hosts finish the work of each step before the next. */
    private List<Answer> collect(List<CompletableFuture<Answer>> answers) throws InterruptedException {
        while (!answers.stream().allMatch(CompletableFuture::isDone)) {
            clock.advance(STEP_NANOS);
            awaitIdle();
        }
        return new ArrayList<>(answers.stream().map(CompletableFuture::join).toList());
    }

    /** Waits until each request is answered, queued, or held by an upstream until the clock moves. */
    private void awaitIdle() throws InterruptedException {
        Deadline limit = Deadline.after(STEP_TIMEOUT, Ticker.system());
        Deadline dispatchLimit = Deadline.after(DISPATCH_TIMEOUT, Ticker.system());
        while (!idle(dispatchLimit.passed(Ticker.system()))) {
            assertWithMessage("the requests of a step are processed in time")
                    .that(limit.passed(Ticker.system()))
                    .isFalse();
            TimeUnit.MICROSECONDS.sleep(200);
        }
    }

    private boolean idle(boolean dispatched) {
        int queued =
                (int) host.meters().get("waxwinghead.caller.waiting").gauge().value();
        long now = clock.nanos();
        long running = serviceEnds.stream().filter(end -> end - now > 0).count();
        boolean settled = answered.get() + queued + running >= sent.get();
        return settled && (queued == 0 || running == SLOTS || dispatched);
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

    private void pause() {
        long end = clock.nanos() + TimeUnit.MILLISECONDS.toNanos(SERVICE_MILLIS);
        serviceEnds.add(end);
        try {
            clock.await(end);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
