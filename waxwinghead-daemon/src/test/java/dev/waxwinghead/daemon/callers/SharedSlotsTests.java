package dev.waxwinghead.daemon.callers;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class SharedSlotsTests {
    private static final int SLOTS = 8;

    /** Long enough that no request is refused for the expected wait, however slowly this machine answers. */
    private static final Duration TIME_LIMIT = Duration.ofMinutes(5);

    private static final long STEP_MILLIS = 5;

    /** Stands still while an announcement is sent, so that no lease ends because this machine is busy. */
    private final ManualClock clock = new ManualClock();

    private final Thread clockThread = new Thread(this::runClock, "clock");
    private final TestCluster cluster = new TestCluster(clock, "e1@dc1", "e2@dc1", "e3@dc1", "e4@dc2");
    private final List<TestHost> hosts = cluster.addAll();
    private final HttpClient client = HttpClient.newHttpClient();
    private StubUpstream upstream;

    @AfterEach
    void close() {
        clockThread.interrupt();
        upstream.close();
        cluster.close();
    }

    @Test
    void neverRunsMoreThanTheSlotsOverAllHostsAndUsesThemAll() throws Exception {
        start();
        List<CompletableFuture<HttpResponse<String>>> sent = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            sent.add(send(hosts.get(i % hosts.size())));
        }
        for (CompletableFuture<HttpResponse<String>> response : sent) {
            assertWithMessage(response.join().body())
                    .that(response.join().statusCode())
                    .isEqualTo(200);
        }
        assertThat(upstream.maxRunning()).isEqualTo(SLOTS);
    }

    @Test
    void leasesAllSlotsToTheOneHostThatIsBusy() throws Exception {
        start();
        Eventually.check(() -> {
            List<CompletableFuture<HttpResponse<String>>> sent = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                sent.add(send(hosts.get(0)));
            }
            sent.forEach(CompletableFuture::join);
            assertThat(upstream.maxRunning()).isEqualTo(SLOTS);
        });
    }

    @Test
    void bothSidesOfAPartitionTogetherNeverUseMoreThanTheSlots() throws Exception {
        start();
        sendRounds(10);
        cluster.moveToPartition(1, hosts.get(0));
        try (StubUpstream announcer = StubUpstream.startAt(hosts.get(1), "u1", upstream.port(), clock)) {
            int served = sendRounds(40);
            assertThat(announcer.runs()).isEqualTo(0);
            assertThat(upstream.maxRunning()).isAtMost(SLOTS);
            assertThat(served).isGreaterThan(300);
        }
    }

    private int sendRounds(int rounds) {
        int served = 0;
        for (int round = 0; round < rounds; round++) {
            List<CompletableFuture<HttpResponse<String>>> sent = new ArrayList<>();
            for (int i = 0; i < 24; i++) {
                sent.add(send(hosts.get(i % 3)));
            }
            for (CompletableFuture<HttpResponse<String>> response : sent) {
                served += response.join().statusCode() == 200 ? 1 : 0;
            }
        }
        return served;
    }

    private void start() throws Exception {
        upstream = StubUpstream.start(hosts.get(0), "u1", clock, exchange -> {
            upstream.work(SharedSlotsTests::pause);
            StubUpstream.reply(exchange, 200, "ok");
        });
        clockThread.start();
        Eventually.check(() -> {
            for (TestHost host : hosts) {
                assertThat(send(host).join().statusCode()).isEqualTo(200);
            }
        });
    }

    /** Moves the clock at most as fast as real time. */
    private void runClock() {
        try {
            while (true) {
                Thread.sleep(STEP_MILLIS);
                clock.advance(TimeUnit.MILLISECONDS.toNanos(STEP_MILLIS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private CompletableFuture<HttpResponse<String>> send(TestHost host) {
        HttpRequest request = host.request("/q")
                .timeout(TIME_LIMIT)
                .header("Waxwinghead-Deadline-Ms", Long.toString(TIME_LIMIT.toMillis()))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    private static void pause() {
        try {
            Thread.sleep(25);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
