package dev.waxwinghead.daemon.callers;

import dev.waxwinghead.daemon.upstreams.Upstream;
import dev.waxwinghead.model.id.UpstreamId;
import dev.waxwinghead.model.time.Ticker;
import java.net.http.HttpClient;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Holds one HTTP client per upstream and replaces it when its connections are suspect.
 *
 * <p>The connections of one client are one generation. A replaced client gets no new request; its connections end with
 * the requests that are on them, and the idle ones are dropped with the client.
 */
final class UpstreamClients {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final long LEAST_GENERATION_NANOS = Duration.ofMillis(250).toNanos();
    private static final long REPEATED_GENERATION_NANOS = Duration.ofSeconds(2).toNanos();

    static {
        // The client may resend a GET by itself and connect twice; the first attempt is to be the only one.
        System.setProperty("jdk.httpclient.redirects.retrylimit", "1");
        setIfAbsent("jdk.httpclient.keepalive.timeout", "20");
        setIfAbsent("jdk.httpclient.connectionPoolSize", "6");
    }

    private final Ticker ticker;
    private final Executor executor;
    private final ConcurrentMap<UpstreamId, Generation> generations = new ConcurrentHashMap<>();
    private final AtomicLong replaced = new AtomicLong();

    private UpstreamClients(Ticker ticker, Executor executor) {
        this.ticker = ticker;
        this.executor = executor;
    }

    static UpstreamClients create(Ticker ticker, Executor executor) {
        return new UpstreamClients(ticker, executor);
    }

    /** Returns the generation that new requests to the upstream use. */
    Generation current(Upstream upstream) {
        Generation current = generations.get(upstream.id());
        return current != null ? current : generations.computeIfAbsent(upstream.id(), id -> next());
    }

    /**
     * Records that an attempt timed out without an answer. The generation is replaced if nothing was heard on it since
     * the attempt started, or if that happens again and again.
     */
    void suspect(Upstream upstream, Generation generation, long attemptStartedAt) {
        long age = ticker.nanos() - generation.createdAt;
        boolean silent = generation.heardAt() - attemptStartedAt < 0 && age > LEAST_GENERATION_NANOS;
        boolean repeated = generation.timeouts.incrementAndGet() > 1 && age > REPEATED_GENERATION_NANOS;
        if ((silent || repeated) && generations.replace(upstream.id(), generation, next())) {
            replaced.incrementAndGet();
        }
    }

    /** Drops the clients of all upstreams but the given. */
    void retain(Set<UpstreamId> live) {
        generations.keySet().retainAll(live);
    }

    /** Returns how many generations were replaced. */
    long replaced() {
        return replaced.get();
    }

    private Generation next() {
        HttpClient client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .followRedirects(HttpClient.Redirect.NEVER)
                .connectTimeout(CONNECT_TIMEOUT)
                .executor(executor)
                .build();
        return new Generation(client, ticker.nanos());
    }

    private static void setIfAbsent(String property, String value) {
        if (System.getProperty(property) == null) {
            System.setProperty(property, value);
        }
    }

    /** The connections that were opened by one client. */
    static final class Generation {
        private final HttpClient client;
        private final long createdAt;
        private final AtomicInteger timeouts = new AtomicInteger();
        private volatile long heardAt;

        private Generation(HttpClient client, long createdAt) {
            this.client = client;
            this.createdAt = createdAt;
            this.heardAt = createdAt;
        }

        HttpClient client() {
            return client;
        }

        void heard(long now) {
            heardAt = now;
        }

        private long heardAt() {
            return heardAt;
        }
    }
}
