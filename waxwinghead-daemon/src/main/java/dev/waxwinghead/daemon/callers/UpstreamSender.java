package dev.waxwinghead.daemon.callers;

import dev.waxwinghead.daemon.upstreams.Upstream;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import dev.waxwinghead.scheduling.retry.AttemptEnd;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/** Sends requests to upstreams, with exactly one attempt per invocation. */
final class UpstreamSender {
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final int UNAVAILABLE = 503;

    private final UpstreamClients clients;
    private final Ticker ticker;
    private final ScheduledExecutorService timer;

    private UpstreamSender(UpstreamClients clients, Ticker ticker, ScheduledExecutorService timer) {
        this.clients = clients;
        this.ticker = ticker;
        this.timer = timer;
    }

    static UpstreamSender create(UpstreamClients clients, Ticker ticker, ScheduledExecutorService timer) {
        return new UpstreamSender(clients, ticker, timer);
    }

    /**
     * Sends a request once. The headers of the answer and, except for a feed, its complete body must arrive before the
     * deadline.
     *
     * @param cancellable receives the action that cancels the attempt
     * @return a future that always completes with a result, never with a failure
     */
    CompletableFuture<AttemptResult> send(
            CallRequest request, Upstream upstream, Deadline deadline, Consumer<Runnable> cancellable) {
        if (deadline.passed(ticker)) {
            return CompletableFuture.completedFuture(
                    AttemptResult.failed(AttemptEnd.NOT_SENT, "the deadline has passed"));
        }
        HttpRequest message;
        try {
            message = createMessage(request, upstream);
        } catch (IllegalArgumentException e) {
            return CompletableFuture.completedFuture(AttemptResult.failed(AttemptEnd.NOT_SENT, e.getMessage()));
        }
        long startedAt = ticker.nanos();
        UpstreamClients.Generation generation = clients.current(upstream);
        AtomicReference<AnswerBody> body = new AtomicReference<>();
        CompletableFuture<HttpResponse<AnswerBody>> exchange = generation
                .client()
                .sendAsync(message, info -> {
                    generation.recordResponse(ticker.nanos());
                    AnswerBody created = createBody(request, info);
                    body.set(created);
                    return created;
                });
        cancellable.accept(() -> cancelAttempt(exchange, body));
        ScheduledFuture<?> timeout = timer.schedule(
                () -> cancelAttempt(exchange, body), deadline.remaining(ticker).toNanos(), TimeUnit.NANOSECONDS);
        CompletableFuture<AttemptResult> result = exchange.handle((response, failure) -> failure == null
                ? answered(request, upstream, response)
                : failed(upstream, generation, startedAt, failure));
        return result.whenComplete((ended, none) -> cancelTimeoutUnlessStreaming(request, ended, timeout));
    }

    private static void cancelTimeoutUnlessStreaming(
            CallRequest request, AttemptResult result, ScheduledFuture<?> timeout) {
        boolean streaming = result != null
                && result.answer() != null
                && !result.answer().body().isComplete();
        if (!streaming || request.kind() == CallKind.FEED) {
            timeout.cancel(false);
        }
    }

    private static void cancelAttempt(CompletableFuture<?> exchange, AtomicReference<AnswerBody> body) {
        TimeoutException timeout = new TimeoutException("the deadline passed");
        AnswerBody arriving = body.get();
        if (arriving != null) {
            arriving.cancel(timeout);
        }
        exchange.cancel(true);
    }

    private static AnswerBody createBody(CallRequest request, HttpResponse.ResponseInfo info) {
        boolean feed = request.kind() == CallKind.FEED && info.statusCode() / 100 == 2;
        return feed ? AnswerBody.streamed() : AnswerBody.buffered();
    }

    private HttpRequest createMessage(CallRequest request, Upstream upstream) {
        byte[] body = request.body();
        HttpRequest.Builder builder = HttpRequest.newBuilder(
                        URI.create("http://" + upstream.authority() + request.target()))
                .method(
                        request.method(),
                        body.length == 0
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofByteArray(body));
        for (Map.Entry<String, List<String>> header : request.headers().entrySet()) {
            header.getValue().forEach(value -> builder.header(header.getKey(), value));
        }
        builder.setHeader(HeaderRules.TENANT, request.tenant().value());
        builder.setHeader(HeaderRules.CLASS, request.trafficClass().value());
        builder.setHeader(
                HeaderRules.DEADLINE,
                Long.toString(Math.max(1, request.deadline().remaining(ticker).toMillis())));
        request.key().ifPresent(key -> builder.setHeader(HeaderRules.KEY, key.value()));
        return builder.build();
    }

    private static AttemptResult answered(CallRequest request, Upstream upstream, HttpResponse<AnswerBody> response) {
        boolean notRun = response.statusCode() == UNAVAILABLE
                && response.headers()
                        .firstValue(HeaderRules.OUTCOME)
                        .filter(Outcome.NOT_RUN.text()::equals)
                        .isPresent();
        if (notRun) {
            response.body().cancel(new IOException("the upstream did not run the request"));
            return AttemptResult.failed(AttemptEnd.NOT_RUN, "upstream " + upstream.id() + " is at capacity or leaving");
        }
        boolean verifiable = hasVerifiableEnd(request, response);
        if (!verifiable && request.kind() != CallKind.FEED) {
            response.body().cancel(new IOException("the answer has neither a length nor chunks"));
            return AttemptResult.failed(
                    AttemptEnd.BROKEN,
                    "upstream " + upstream.id()
                            + " sent neither a length nor chunks, so a truncated answer could not be detected");
        }
        return AttemptResult.answered(new UpstreamAnswer(
                upstream, response.statusCode(), response.headers().map(), response.body(), verifiable));
    }

    private static boolean hasVerifiableEnd(CallRequest request, HttpResponse<?> response) {
        int status = response.statusCode();
        boolean noBody = request.method().equals("HEAD") || status == NO_CONTENT || status == NOT_MODIFIED;
        return noBody
                || response.headers().firstValue("content-length").isPresent()
                || response.headers().firstValue("transfer-encoding").isPresent();
    }

    private AttemptResult failed(
            Upstream upstream, UpstreamClients.Generation generation, long startedAt, Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
        String reason = "upstream " + upstream.id() + ": " + cause;
        if (cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException) {
            return AttemptResult.failed(AttemptEnd.NOT_SENT, reason);
        }
        if (cause instanceof CancellationException || cause instanceof TimeoutException) {
            clients.recordTimeout(upstream, generation, startedAt);
            return AttemptResult.failed(AttemptEnd.TIMED_OUT, "upstream " + upstream.id() + " did not answer in time");
        }
        return AttemptResult.failed(AttemptEnd.BROKEN, reason);
    }
}
