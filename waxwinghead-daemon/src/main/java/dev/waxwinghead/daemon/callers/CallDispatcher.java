package dev.waxwinghead.daemon.callers;

import dev.waxwinghead.daemon.upstreams.UpstreamRegistry;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import dev.waxwinghead.scheduling.limits.FairQueue;
import dev.waxwinghead.scheduling.limits.RequestLimits;
import dev.waxwinghead.scheduling.retry.AttemptEnd;
import dev.waxwinghead.scheduling.retry.RetryPolicy;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Takes requests to upstreams: at once where a slot is free, else through a queue that is fair and bounded by the
 * requests' deadlines.
 *
 * <p>The lock of this object guards the queues; the table's lock is taken inside it. Neither is held while a request is
 * sent or answered.
 */
final class CallDispatcher {
    private static final double WAIT_MARGIN = 1.25;

    private final UpstreamRegistry registry;
    private final UpstreamTable table;
    private final UpstreamSender sender;
    private final RequestLimits limits;
    private final RetryPolicy retries;
    private final Hedging hedging;
    private final Ticker ticker;
    private final CallerMeters meters;
    private final Map<QueueKey, FairQueue<Call>> queues = new HashMap<>();
    private final AnswerHandler answers;

    private CallDispatcher(
            UpstreamRegistry registry,
            UpstreamTable table,
            UpstreamSender sender,
            RequestLimits limits,
            RetryPolicy retries,
            Hedging hedging,
            Ticker ticker,
            CallerMeters meters,
            AnswerHandler answers) {
        this.registry = registry;
        this.table = table;
        this.sender = sender;
        this.limits = limits;
        this.retries = retries;
        this.hedging = hedging;
        this.ticker = ticker;
        this.meters = meters;
        this.answers = answers;
    }

    /** Receives the end of each call. */
    interface AnswerHandler {
        /** Passes an answer on; the reservation is to be released once the body has ended. */
        void answered(Call call, UpstreamAnswer answer, UpstreamTable.Reservation reservation);

        /** Refuses a call. */
        void refused(Call call, WaxwingheadException failure);
    }

    static CallDispatcher create(
            UpstreamRegistry registry,
            UpstreamTable table,
            UpstreamSender sender,
            RequestLimits limits,
            RetryPolicy retries,
            Hedging hedging,
            Ticker ticker,
            CallerMeters meters,
            AnswerHandler answers) {
        return new CallDispatcher(registry, table, sender, limits, retries, hedging, ticker, meters, answers);
    }

    /** Sends a call to an upstream now, or later, or refuses it. */
    void dispatch(Call call) {
        Optional<UpstreamTable.Reservation> reservation;
        Optional<WaxwingheadException> refusal = Optional.empty();
        synchronized (this) {
            FairQueue<Call> queue = queues.get(QueueKey.of(call.request()));
            boolean othersWait = queue != null && queue.size() > 0;
            reservation = othersWait ? Optional.empty() : table.reserve(call.request(), call.tried(), 1);
            if (reservation.isEmpty()) {
                refusal = enqueue(call);
            }
        }
        reservation.ifPresent(slot -> attempt(call, slot));
        refusal.ifPresent(failure -> answers.refused(call, failure));
    }

    /** Sends waiting calls for which there is a slot. */
    void drainQueues() {
        List<QueueKey> keys;
        synchronized (this) {
            keys = new ArrayList<>(queues.keySet());
        }
        keys.forEach(this::drainQueue);
    }

    /** Refuses the waiting calls that can't be answered in time any more. */
    void removeLate() {
        List<Call> late = new ArrayList<>();
        synchronized (this) {
            queues.forEach((service, queue) -> late.addAll(
                    queue.removeLate(ticker.nanos() + table.throughput(service).serviceNanos())));
            queues.values().removeIf(queue -> queue.size() == 0);
        }
        late.forEach(call -> answers.refused(call, deadlineExceeded(call)));
    }

    synchronized int waiting() {
        return queues.values().stream().mapToInt(FairQueue::size).sum();
    }

    /** Tells why a call would be refused now: nobody serves it, or the queue is too long for its deadline. */
    synchronized Optional<WaxwingheadException> refusal(Call call) {
        CallRequest request = call.request();
        UpstreamTable.Throughput throughput = table.throughput(QueueKey.of(request));
        if (throughput.upstreams() == 0) {
            return Optional.of(noUpstream(request));
        }
        FairQueue<Call> queue = queues.get(QueueKey.of(request));
        if (queue == null || queue.size() == 0) {
            return Optional.empty();
        }
        long wait = throughput.waitNanos(queue.ahead(flow(request), weight(request)));
        long needed = (long) (wait * WAIT_MARGIN) + throughput.serviceNanos();
        if (needed <= request.deadline().remaining(ticker).toNanos()) {
            return Optional.empty();
        }
        return Optional.of(WaxwingheadException.of(
                ErrorKind.LIMITED,
                "the queue of service " + request.service() + " is about "
                        + Duration.ofNanos(needed).toMillis() + " ms long, which is past the deadline",
                "send it again later or with a later deadline"));
    }

    private Optional<WaxwingheadException> enqueue(Call call) {
        Optional<WaxwingheadException> refusal = refusal(call);
        if (refusal.isEmpty()) {
            CallRequest request = call.request();
            queues.computeIfAbsent(QueueKey.of(request), key -> FairQueue.create())
                    .add(
                            flow(request),
                            weight(request),
                            call,
                            request.deadline().nanos());
        }
        return refusal;
    }

    private static String flow(CallRequest request) {
        return request.tenant() + "/" + request.trafficClass();
    }

    private double weight(CallRequest request) {
        return limits.weight(request.tenant(), request.trafficClass());
    }

    private WaxwingheadException noUpstream(CallRequest request) {
        if (registry.knows(request.service())) {
            return WaxwingheadException.of(
                    ErrorKind.UNAVAILABLE,
                    "no upstream of service " + request.service() + " takes requests",
                    "send it again later; operators: list the upstreams");
        }
        return WaxwingheadException.of(
                ErrorKind.NOT_FOUND,
                "service " + request.service() + " is unknown here",
                "check the service's name and that its upstreams announce themselves");
    }

    /** Sends waiting calls for which there is a slot, of the service and resource that an ended call used. */
    void drainQueue(CallRequest ended) {
        drainQueue(QueueKey.of(ended));
    }

    private void drainQueue(QueueKey key) {
        while (true) {
            Call call;
            Optional<UpstreamTable.Reservation> reservation;
            synchronized (this) {
                FairQueue<Call> queue = queues.get(key);
                if (queue == null || queue.size() == 0) {
                    return;
                }
                Optional<Call> next = queue.peek();
                call = next.orElseThrow();
                reservation = table.reserve(call.request(), call.tried(), queue.size());
                if (reservation.isEmpty()) {
                    return;
                }
                queue.poll();
            }
            attempt(call, reservation.orElseThrow());
        }
    }

    private void attempt(Call call, UpstreamTable.Reservation reservation) {
        CallRequest request = call.request();
        Duration remaining = request.deadline().remaining(ticker);
        Duration usual = usualLatency(request);
        Duration time = RetryPolicy.attemptTime(request.kind().idempotent(), call.attempts(), remaining, usual);
        call.startAttempt(reservation);
        send(request, reservation, Deadline.after(time, ticker))
                .thenAccept(result -> ended(call, reservation, result))
                .exceptionally(failure -> {
                    reservation.abandoned();
                    answers.refused(call, WaxwingheadException.from(failure));
                    return null;
                });
        hedging.whenLate(call, usual, () -> hedge(call)).ifPresent(call::hedgeBy);
    }

    private void hedge(Call call) {
        if (call.won() || call.running().size() != 1) {
            return;
        }
        table.reserve(call.request(), call.tried(), 1).ifPresent(reservation -> {
            boolean another = !call.tried().contains(reservation.upstream().id());
            if (another && hedging.trySpend()) {
                meters.hedge();
                attempt(call, reservation);
            } else {
                reservation.abandoned();
            }
        });
    }

    private CompletableFuture<AttemptResult> send(
            CallRequest request, UpstreamTable.Reservation reservation, Deadline deadline) {
        try {
            return sender.send(request, reservation.upstream(), deadline, reservation::cancelWith);
        } catch (RuntimeException e) {
            // The request may have left already.
            return CompletableFuture.completedFuture(AttemptResult.failed(AttemptEnd.BROKEN, e.toString()));
        }
    }

    private void ended(Call call, UpstreamTable.Reservation reservation, AttemptResult result) {
        meters.attempt(result.end());
        boolean last = call.endAttempt(reservation);
        if (result.end() == AttemptEnd.ANSWERED) {
            won(call, reservation, result.answer());
            return;
        }
        if (call.won() || result.end() == AttemptEnd.NOT_RUN || timedOutEarly(call, reservation, result)) {
            reservation.abandoned();
        } else {
            reservation.failed();
        }
        call.attemptFailed(result);
        if (last && !call.won()) {
            resendOrRefuse(call, result);
        }
        drainQueue(call.request());
    }

    private boolean timedOutEarly(Call call, UpstreamTable.Reservation reservation, AttemptResult result) {
        return result.end() == AttemptEnd.TIMED_OUT
                && !RetryPolicy.blames(Duration.ofNanos(reservation.elapsed()), usualLatency(call.request()));
    }

    private Duration usualLatency(CallRequest request) {
        return Duration.ofNanos(table.throughput(QueueKey.of(request)).serviceNanos());
    }

    private void won(Call call, UpstreamTable.Reservation reservation, UpstreamAnswer answer) {
        if (call.win()) {
            call.running().forEach(UpstreamTable.Reservation::cancel);
            answers.answered(call, answer, reservation);
        } else {
            answer.body().cancel(new IOException("another upstream answered first"));
            reservation.abandoned();
        }
    }

    private void resendOrRefuse(Call call, AttemptResult result) {
        Duration remaining = call.request().deadline().remaining(ticker);
        if (retries.resend(call.request().kind().idempotent(), result.end(), call.attempts(), remaining)) {
            dispatch(call);
        } else {
            answers.refused(call, failure(call, result.end()));
        }
    }

    private static WaxwingheadException failure(Call call, AttemptEnd end) {
        if (end == AttemptEnd.TIMED_OUT) {
            return deadlineExceeded(call);
        }
        if (call.mayHaveRun()) {
            return WaxwingheadException.of(
                    ErrorKind.UNKNOWN_OUTCOME,
                    "whether the request ran can't be told: " + call.reason(),
                    call.request().key().isPresent()
                            ? "send it again with the same key"
                            : "check its effect before sending it again");
        }
        return WaxwingheadException.of(
                ErrorKind.UNAVAILABLE, "the request was not run: " + call.reason(), "send it again");
    }

    private static WaxwingheadException deadlineExceeded(Call call) {
        return WaxwingheadException.of(
                ErrorKind.DEADLINE_EXCEEDED,
                call.reason().isEmpty() ? "the deadline passed while the request waited" : call.reason(),
                "send it again with a later deadline");
    }
}
