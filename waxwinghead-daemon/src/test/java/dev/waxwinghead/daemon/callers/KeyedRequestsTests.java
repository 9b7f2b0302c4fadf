package dev.waxwinghead.daemon.callers;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class KeyedRequestsTests {
    private final TestCluster cluster = new TestCluster("e1@dc1", "e2@dc1", "e3@dc1");
    private final List<TestHost> hosts = cluster.addAll();
    private final List<StubUpstream> upstreams = new ArrayList<>();
    private final HttpClient client = HttpClient.newHttpClient();
    private final CountDownLatch hold = new CountDownLatch(1);

    @BeforeEach
    void start() throws Exception {
        for (int i = 0; i < 3; i++) {
            int number = i;
            upstreams.add(StubUpstream.start(hosts.get(i), "u" + i, exchange -> {
                if (exchange.getRequestURI().getPath().equals("/held")) {
                    awaitHold();
                }
                StubUpstream.reply(exchange, 200, "ran at u" + number);
            }));
        }
        Eventually.check(() -> {
            for (TestHost host : hosts) {
                HttpRequest list = HttpRequest.newBuilder(host.operatorUri("/v1/upstreams"))
                        .build();
                String body =
                        client.send(list, HttpResponse.BodyHandlers.ofString()).body();
                assertThat(body.split("serving", -1)).hasLength(4);
            }
        });
    }

    @AfterEach
    void close() {
        hold.countDown();
        upstreams.forEach(StubUpstream::close);
        cluster.close();
    }

    @Test
    void aResendAtAnotherHostGetsTheRecordedAnswer() throws Exception {
        HttpResponse<String> first = send(0, "k1", "/x", "order");
        HttpResponse<String> second = send(1, "k1", "/x", "order");
        assertThat(first.headers().firstValue("Waxwinghead-Replayed")).isEmpty();
        assertThat(second.headers().firstValue("Waxwinghead-Replayed")).hasValue("true");
        assertThat(second.body()).isEqualTo(first.body());
        assertThat(runs("k1")).isEqualTo(1);
    }

    @Test
    void theSameKeyWithAnotherBodyIsRefused() throws Exception {
        assertThat(send(0, "k1", "/x", "one").statusCode()).isEqualTo(200);
        HttpResponse<String> other = send(1, "k1", "/x", "two");
        assertThat(other.statusCode()).isEqualTo(409);
        assertThat(other.headers().firstValue("Waxwinghead-Outcome")).hasValue("not-run");
        assertThat(runs("k1")).isEqualTo(1);
    }

    @Test
    void theSameKeyAtAllHostsAtTheSameInstantRunsOnce() throws Exception {
        for (int round = 0; round < 20; round++) {
            String key = "k" + round;
            List<CompletableFuture<HttpResponse<String>>> sent = new ArrayList<>();
            for (int host = 0; host < 9; host++) {
                sent.add(sendAsync(host % 3, key, "/x", "order"));
            }
            for (CompletableFuture<HttpResponse<String>> response : sent) {
                assertThat(outcome(response.join())).isNotEqualTo("not-run");
            }
            assertThat(runs(key)).isEqualTo(1);
        }
    }

    @Test
    void aResendWhileTheFirstRequestRunsHasAnUnknownOutcome() throws Exception {
        CompletableFuture<HttpResponse<String>> first = sendAsync(0, "k1", "/held", "order");
        Eventually.check(() -> assertThat(runs("k1")).isEqualTo(1));
        assertThat(outcome(send(1, "k1", "/held", "order"))).isEqualTo("unknown");
        hold.countDown();
        assertThat(outcome(first.join())).isEqualTo("answered");
        assertThat(runs("k1")).isEqualTo(1);
    }

    @Test
    void aRequestThatNoUpstreamRanReleasesItsKey() throws Exception {
        upstreams.forEach(StubUpstream::refuseAll);
        assertThat(outcome(send(0, "k1", "/x", "order"))).isEqualTo("not-run");
        upstreams.forEach(StubUpstream::acceptAll);
        assertThat(outcome(send(1, "k1", "/x", "order"))).isEqualTo("answered");
        assertThat(runs("k1")).isEqualTo(1);
    }

    @Test
    void withoutAMajorityNothingIsSentAndTheOutcomeIsUnknown() throws Exception {
        cluster.loseMajority();
        HttpResponse<String> response = send(0, "k1", "/x", "order");
        assertThat(response.statusCode()).isEqualTo(503);
        assertThat(response.body()).contains("no-majority");
        assertThat(outcome(response)).isEqualTo("unknown");
        assertThat(runs("k1")).isEqualTo(0);
    }

    @Nested
    class UnderFailures {
        private static final int KEYS = 300;
        private static final int SENDERS = 12;

        private final Map<String, List<String>> outcomes = new ConcurrentHashMap<>();

        @Test
        void eachKeyRunsAtMostOnceAndOutcomesAgreeWithTheCount() throws Exception {
            List<CompletableFuture<Void>> senders = new ArrayList<>();
            for (int sender = 0; sender < SENDERS; sender++) {
                Random random = new Random(sender);
                int number = sender;
                senders.add(CompletableFuture.runAsync(() -> sendKeys(number, random)));
            }
            Thread.sleep(300);
            upstreams.get(0).close();
            Thread.sleep(300);
            hosts.get(0).close();
            senders.forEach(CompletableFuture::join);
            assertThat(outcomes).hasSize(KEYS);
            outcomes.forEach(this::assertAgrees);
        }

        private void sendKeys(int sender, Random random) {
            for (int i = sender; i < KEYS; i += SENDERS) {
                String key = "k" + i;
                outcomes.put(key, new ArrayList<>());
                for (int attempt = 0; attempt < 4 && !outcomes.get(key).contains("answered"); attempt++) {
                    outcomes.get(key).add(sendOnce(random.nextInt(3), key) + "/" + runs(key));
                }
            }
        }

        private String sendOnce(int host, String key) {
            try {
                Thread.sleep(5);
                return outcome(send(host, key, "/x", "order " + key));
            } catch (Exception e) {
                return "lost";
            }
        }

        private void assertAgrees(String key, List<String> seen) {
            assertWithMessage("%s: %s", key, seen).that(runs(key)).isAtMost(1);
            for (String outcome : seen) {
                assertWithMessage("%s: %s", key, seen).that(outcome).isNotEqualTo("not-run/1");
                assertWithMessage("%s: %s", key, seen).that(outcome).isNotEqualTo("answered/0");
            }
        }
    }

    private HttpResponse<String> send(int host, String key, String path, String body) throws Exception {
        return client.send(request(host, key, path, body), HttpResponse.BodyHandlers.ofString());
    }

    private CompletableFuture<HttpResponse<String>> sendAsync(int host, String key, String path, String body) {
        return client.sendAsync(request(host, key, path, body), HttpResponse.BodyHandlers.ofString());
    }

    private HttpRequest request(int host, String key, String path, String body) {
        return hosts.get(host)
                .request(path)
                .header("Idempotency-Key", key)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    private int runs(String key) {
        return upstreams.stream().mapToInt(upstream -> upstream.runs(key)).sum();
    }

    private static String outcome(HttpResponse<?> response) {
        return response.headers().firstValue("Waxwinghead-Outcome").orElse("none");
    }

    private void awaitHold() {
        try {
            hold.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
