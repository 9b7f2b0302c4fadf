package dev.waxwinghead.daemon.callers;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import dev.waxwinghead.daemon.claims.RecordedAnswer;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import dev.waxwinghead.scheduling.limits.RequestLimits;
import dev.waxwinghead.scheduling.retry.RetryBudget;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Reads callers' requests, passes them to the {@link CallDispatcher} and reports the outcome to each caller. */
final class CallerHandler implements HttpHandler, CallDispatcher.CallListener, KeyedCalls.CallContinuation {
    private static final String EVENT_STREAM = "text/event-stream";
    private static final byte[] RECONNECT_EVENT = "event: reconnect\ndata: {}\n\n".getBytes(StandardCharsets.UTF_8);
    private static final long READINESS_GRACE_MILLIS = 1_000;
    private static final long IDLE_CHECK_MILLIS = 50;
    private static final Duration MAX_WRITE_DURATION = Duration.ofSeconds(5);

    private final Ticker ticker;
    private final RequestLimits limits;
    private final CallerMeters meters;
    private final RetryBudget budget;
    private final CallerResponses responses = CallerResponses.create(this::leaving);
    private final AtomicInteger inFlight = new AtomicInteger();
    private final Map<AnswerBody, byte[]> feeds = new ConcurrentHashMap<>();
    private volatile CallDispatcher dispatcher;
    private volatile KeyedCalls keyedCalls;
    private volatile boolean leaving;

    private CallerHandler(Ticker ticker, RequestLimits limits, CallerMeters meters, RetryBudget budget) {
        this.ticker = ticker;
        this.limits = limits;
        this.meters = meters;
        this.budget = budget;
    }

    static CallerHandler create(Ticker ticker, RequestLimits limits, CallerMeters meters, RetryBudget budget) {
        return new CallerHandler(ticker, limits, meters, budget);
    }

    void setDispatchers(CallDispatcher newDispatcher, KeyedCalls newKeyedCalls) {
        dispatcher = newDispatcher;
        keyedCalls = newKeyedCalls;
    }

    int inFlight() {
        return inFlight.get();
    }

    boolean leaving() {
        return leaving;
    }

    @Override
    public void handle(HttpExchange exchange) {
        inFlight.incrementAndGet();
        CallRequest request;
        try {
            request = CallRequest.read(exchange, ticker);
        } catch (IOException | RuntimeException e) {
            meters.countUnreadable();
            responses.refuse(exchange, Outcome.NOT_RUN, WaxwingheadException.from(e));
            inFlight.decrementAndGet();
            return;
        }
        Call call = Call.of(request, exchange);
        Optional<String> limit = limits.admit(request.tenant(), request.trafficClass(), ticker.nanos());
        if (limit.isPresent()) {
            onRefusal(
                    call,
                    WaxwingheadException.of(
                            ErrorKind.LIMITED, limit.get(), "send fewer requests, or have the limit raised"));
            return;
        }
        call.markCountedAgainstLimits();
        if (request.kind() == CallKind.KEYED) {
            dispatcher
                    .checkAdmission(call)
                    .ifPresentOrElse(failure -> onRefusal(call, failure), () -> keyedCalls.claimAndDispatch(call));
        } else {
            dispatcher.dispatch(call);
        }
    }

    @Override
    public void dispatch(Call call) {
        dispatcher.dispatch(call);
    }

    @Override
    public void replay(Call call, RecordedAnswer answer) {
        end(
                call,
                Outcome.ANSWERED,
                () -> responses.respond(
                        call.exchange(), answer.status(), KeyedCalls.replayHeaders(answer), answer.body()));
    }

    @Override
    public void refuse(Call call, Outcome outcome, WaxwingheadException failure) {
        end(call, outcome, () -> responses.refuse(call.exchange(), outcome, failure));
    }

    @Override
    public void onAnswer(Call call, UpstreamAnswer answer, UpstreamTable.Reservation reservation) {
        budget.succeeded();
        Map<String, List<String>> headers = HeaderRules.toCaller(answer.headers());
        headers.put(HeaderRules.OUTCOME, List.of(Outcome.ANSWERED.text()));
        headers.put(HeaderRules.UPSTREAM, List.of(answer.upstream().id().value()));
        if (answer.body().isComplete()) {
            reservation.answered();
            byte[] body = answer.body().bufferedBytes();
            Runnable response = () -> end(
                    call, Outcome.ANSWERED, () -> responses.respond(call.exchange(), answer.status(), headers, body));
            if (call.holdsClaim() && body.length <= RecordedAnswer.MAX_BODY_BYTES) {
                keyedCalls.record(call, toRecordedAnswer(answer, body), response);
            } else {
                response.run();
            }
        } else {
            stream(call, answer, headers, reservation);
        }
        dispatcher.drainQueue(call.request());
    }

    @Override
    public void onRefusal(Call call, WaxwingheadException failure) {
        if (call.request().kind() == CallKind.KEYED) {
            keyedCalls.refuse(call, failure);
        } else {
            refuse(call, call.mayHaveRun() ? Outcome.UNKNOWN : Outcome.NOT_RUN, failure);
        }
    }

    /**
     * Drains the host: reports it as not ready first, so that load balancers stop sending requests, then ends the feeds
     * and waits for the requests in flight.
     *
     * @param deadline the time at which to stop waiting
     * @return a future that completes once no request is in flight or the deadline has passed
     */
    CompletableFuture<Void> drain(Deadline deadline) {
        leaving = true;
        CompletableFuture<Void> drained = new CompletableFuture<>();
        runAfter(READINESS_GRACE_MILLIS, () -> {
            feeds.forEach(AnswerBody::endFeed);
            awaitIdle(deadline, drained, false);
        });
        return drained;
    }

    /** Cancels the feeds whose callers have stopped reading. */
    void endStalledFeeds() {
        for (AnswerBody feed : feeds.keySet()) {
            if (feed.isStalled(MAX_WRITE_DURATION)) {
                feed.cancel(new IOException("the caller has stopped reading"));
            }
        }
    }

    private void awaitIdle(Deadline deadline, CompletableFuture<Void> drained, boolean idleBefore) {
        boolean idle = inFlight.get() == 0;
        if ((idle && idleBefore) || deadline.passed(ticker)) {
            drained.complete(null);
            return;
        }
        feeds.forEach(AnswerBody::endFeed);
        runAfter(IDLE_CHECK_MILLIS, () -> awaitIdle(deadline, drained, idle));
    }

    private static void runAfter(long millis, Runnable action) {
        CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS).execute(action);
    }

    private void stream(
            Call call,
            UpstreamAnswer answer,
            Map<String, List<String>> headers,
            UpstreamTable.Reservation reservation) {
        boolean feed = call.request().kind() == CallKind.FEED;
        if (feed) {
            headers.put("Connection", List.of("close"));
            feeds.put(answer.body(), finalEvent(answer));
        }
        if (!call.tryFinish()) {
            return;
        }
        try {
            AnswerSink sink = responses.startStreaming(
                    call.exchange(),
                    answer.status(),
                    headers,
                    contentLength(answer),
                    cause -> onStreamEnd(call, answer, reservation, cause));
            answer.body().pipeTo(sink);
        } catch (IOException e) {
            answer.body().cancel(e);
            call.exchange().close();
            onStreamEnd(call, answer, reservation, e);
        }
    }

    /** Returns the event that asks a feed's caller to reconnect, empty if the media type has no such event. */
    private static byte[] finalEvent(UpstreamAnswer answer) {
        String type = answer.headers().entrySet().stream()
                .filter(header -> header.getKey().equalsIgnoreCase("content-type"))
                .map(header -> header.getValue().get(0))
                .findFirst()
                .orElse("");
        return type.startsWith(EVENT_STREAM) ? RECONNECT_EVENT.clone() : new byte[0];
    }

    private void onStreamEnd(Call call, UpstreamAnswer answer, UpstreamTable.Reservation reservation, Throwable cause) {
        feeds.remove(answer.body());
        reservation.answered();
        Outcome outcome = cause == null ? Outcome.ANSWERED : Outcome.UNKNOWN;
        recordEnd(call, outcome);
        dispatcher.drainQueue(call.request());
    }

    private static RecordedAnswer toRecordedAnswer(UpstreamAnswer answer, byte[] body) {
        return RecordedAnswer.of(
                answer.status(), answer.upstream().id().value(), HeaderRules.toCaller(answer.headers()), body);
    }

    private static long contentLength(UpstreamAnswer answer) {
        return answer.headers().entrySet().stream()
                .filter(header -> header.getKey().equalsIgnoreCase("content-length"))
                .mapToLong(header -> Long.parseLong(header.getValue().get(0).trim()))
                .findFirst()
                .orElse(-1);
    }

    private void end(Call call, Outcome outcome, Runnable response) {
        if (call.tryFinish()) {
            response.run();
            recordEnd(call, outcome);
        }
    }

    private void recordEnd(Call call, Outcome outcome) {
        CallRequest request = call.request();
        meters.recordOutcome(request, outcome, ticker.nanos() - request.receivedAt());
        if (call.isCountedAgainstLimits()) {
            limits.release(request.tenant(), request.trafficClass());
        }
        inFlight.decrementAndGet();
    }
}
