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
 * Holds one HTTP client per upstream and replaces the client when its connections appear to be dead.
 *
 * <p>The connections of one client form a {@link Generation}. A replaced client receives no new requests; its
 * connections close after the requests in flight on them, and idle connections are released with the client.
 */
final class UpstreamClients {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final long MIN_AGE_IF_SILENT_NANOS = Duration.ofMillis(250).toNanos();
    private static final long MIN_AGE_IF_REPEATED_NANOS = Duration.ofSeconds(2).toNanos();

    static {
        // By default the JDK's client may connect twice and resend a GET by itself; only the first attempt is wanted.
        System.setProperty("jdk.httpclient.redirects.retrylimit", "1");
        setIfAbsent("jdk.httpclient.keepalive.timeout", "20");
        setIfAbsent("jdk.httpclient.connectionPoolSize", "6");
    }

    private final Ticker ticker;
    private final Executor executor;
    private final ConcurrentMap<UpstreamId, Generation> generations = new ConcurrentHashMap<>();
    private final AtomicLong replacedCount = new AtomicLong();

    private UpstreamClients(Ticker ticker, Executor executor) {
        this.ticker = ticker;
        this.executor = executor;
    }

    static UpstreamClients create(Ticker ticker, Executor executor) {
        return new UpstreamClients(ticker, executor);
    }

    /** Returns the generation used for new requests to the upstream. */
    Generation current(Upstream upstream) {
        Generation current = generations.get(upstream.id());
        return current != null ? current : generations.computeIfAbsent(upstream.id(), id -> createGeneration());
    }

    /**
     * Records that an attempt timed out without an answer. The generation is replaced if no response headers have
     * arrived on it since the attempt started, or if attempts on it time out repeatedly.
     */
    void recordTimeout(Upstream upstream, Generation generation, long attemptStartedAt) {
        long age = ticker.nanos() - generation.createdAt;
        boolean silent = generation.lastResponseAt() - attemptStartedAt < 0 && age > MIN_AGE_IF_SILENT_NANOS;
        boolean repeated = generation.timeouts.incrementAndGet() > 1 && age > MIN_AGE_IF_REPEATED_NANOS;
        if ((silent || repeated) && generations.replace(upstream.id(), generation, createGeneration())) {
            replacedCount.incrementAndGet();
        }
    }

    /** Removes the clients of all upstreams other than the given ones. */
    void retain(Set<UpstreamId> live) {
        generations.keySet().retainAll(live);
    }

    /** Returns the number of generations replaced so far. */
    long replacedCount() {
        return replacedCount.get();
    }

    private Generation createGeneration() {
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

    /** Represents the connections opened by one client. */
    static final class Generation {
        private final HttpClient client;
        private final long createdAt;
        private final AtomicInteger timeouts = new AtomicInteger();
        private volatile long lastResponseAt;

        private Generation(HttpClient client, long createdAt) {
            this.client = client;
            this.createdAt = createdAt;
            this.lastResponseAt = createdAt;
        }

        HttpClient client() {
            return client;
        }

        void recordResponse(long now) {
            lastResponseAt = now;
        }

        private long lastResponseAt() {
            return lastResponseAt;
        }
    }
}
