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
 * Dispatches calls to upstreams: immediately if a slot is free, otherwise through a fair queue that is bounded by the
 * deadlines of the requests.
 *
 * <p>The monitor of this object guards the queues; the lock of the {@link UpstreamTable} is acquired while holding it.
 * Neither is held while a request is sent or answered.
 */
final class CallDispatcher {
    private static final double WAIT_SAFETY_FACTOR = 1.25;

    private final UpstreamRegistry registry;
    private final UpstreamTable table;
    private final UpstreamSender sender;
    private final RequestLimits limits;
    private final RetryPolicy retries;
    private final Hedging hedging;
    private final Ticker ticker;
    private final CallerMeters meters;
    private final Map<QueueKey, FairQueue<Call>> queues = new HashMap<>();
    private final CallListener listener;

    private CallDispatcher(
            UpstreamRegistry registry,
            UpstreamTable table,
            UpstreamSender sender,
            RequestLimits limits,
            RetryPolicy retries,
            Hedging hedging,
            Ticker ticker,
            CallerMeters meters,
            CallListener listener) {
        this.registry = registry;
        this.table = table;
        this.sender = sender;
        this.limits = limits;
        this.retries = retries;
        this.hedging = hedging;
        this.ticker = ticker;
        this.meters = meters;
        this.listener = listener;
    }

    /** Receives the result of each call. */
    interface CallListener {
        /** Forwards an answer to the caller; the listener releases the reservation once the body has ended. */
        void onAnswer(Call call, UpstreamAnswer answer, UpstreamTable.Reservation reservation);

        /** Refuses a call. */
        void onRefusal(Call call, WaxwingheadException failure);
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
            CallListener listener) {
        return new CallDispatcher(registry, table, sender, limits, retries, hedging, ticker, meters, listener);
    }

    /** Sends a call to an upstream, queues it if no slot is free, or refuses it. */
    void dispatch(Call call) {
        Optional<UpstreamTable.Reservation> reservation;
        Optional<WaxwingheadException> refusal = Optional.empty();
        synchronized (this) {
            FairQueue<Call> queue = queues.get(QueueKey.of(call.request()));
            boolean queued = queue != null && queue.size() > 0;
            reservation = queued ? Optional.empty() : table.reserve(call.request(), call.triedUpstreams(), 1);
            if (reservation.isEmpty()) {
                refusal = enqueue(call);
            }
        }
        reservation.ifPresent(slot -> attempt(call, slot));
        refusal.ifPresent(failure -> listener.onRefusal(call, failure));
    }

    /** Sends the queued calls for which a slot is free. */
    void drainQueues() {
        List<QueueKey> keys;
        synchronized (this) {
            keys = new ArrayList<>(queues.keySet());
        }
        keys.forEach(this::drainQueue);
    }

    /** Refuses the queued calls that can no longer be answered before their deadlines. */
    void refuseLate() {
        List<Call> late = new ArrayList<>();
        synchronized (this) {
            queues.forEach((key, queue) -> late.addAll(
                    queue.removeLate(ticker.nanos() + table.capacity(key).serviceTimeNanos())));
            queues.values().removeIf(queue -> queue.size() == 0);
        }
        late.forEach(call -> listener.onRefusal(call, deadlineExceeded(call)));
    }

    synchronized int waiting() {
        return queues.values().stream().mapToInt(FairQueue::size).sum();
    }

    /**
     * Returns the reason to refuse a call: no upstream serves it, or the queue is too long for its deadline. Empty if
     * the call is admitted.
     */
    synchronized Optional<WaxwingheadException> checkAdmission(Call call) {
        CallRequest request = call.request();
        UpstreamTable.ServiceCapacity capacity = table.capacity(QueueKey.of(request));
        if (capacity.upstreams() == 0) {
            return Optional.of(noUpstream(request));
        }
        FairQueue<Call> queue = queues.get(QueueKey.of(request));
        if (queue == null || queue.size() == 0) {
            return Optional.empty();
        }
        long wait = capacity.waitNanos(queue.requestsAhead(flow(request), weight(request)));
        long expected = (long) (wait * WAIT_SAFETY_FACTOR) + capacity.serviceTimeNanos();
        if (expected <= request.deadline().remaining(ticker).toNanos()) {
            return Optional.empty();
        }
        return Optional.of(WaxwingheadException.of(
                ErrorKind.LIMITED,
                "an answer of service " + request.service() + " is expected to take "
                        + Duration.ofNanos(expected).toMillis() + " ms including the queue, which exceeds the deadline",
                "resend the request later or with a later deadline"));
    }

    private Optional<WaxwingheadException> enqueue(Call call) {
        Optional<WaxwingheadException> refusal = checkAdmission(call);
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
        if (registry.isKnown(request.service())) {
            return WaxwingheadException.of(
                    ErrorKind.UNAVAILABLE,
                    "no upstream of service " + request.service() + " accepts requests",
                    "resend the request later; operators: list the upstreams");
        }
        return WaxwingheadException.of(
                ErrorKind.NOT_FOUND,
                "service " + request.service() + " is unknown on this entry host",
                "check the service's name and that its upstreams announce themselves");
    }

    /** Sends the queued calls for which a slot is free, from the queue that an ended request belongs to. */
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
                reservation = table.reserve(call.request(), call.triedUpstreams(), queue.size());
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
        Duration timeout =
                RetryPolicy.attemptTimeout(request.kind().idempotent(), call.attemptCount(), remaining, usual);
        call.startAttempt(reservation);
        send(request, reservation, Deadline.after(timeout, ticker))
                .thenAccept(result -> onAttemptEnd(call, reservation, result))
                .exceptionally(failure -> {
                    reservation.abandoned();
                    listener.onRefusal(call, WaxwingheadException.from(failure));
                    return null;
                });
        hedging.schedule(call, usual, () -> hedge(call)).ifPresent(call::setHedge);
    }

    private void hedge(Call call) {
        if (call.answerAccepted() || call.runningAttempts().size() != 1) {
            return;
        }
        table.reserve(call.request(), call.triedUpstreams(), 1).ifPresent(reservation -> {
            boolean untried =
                    !call.triedUpstreams().contains(reservation.upstream().id());
            if (untried && hedging.trySpend()) {
                meters.countHedge();
                attempt(call, reservation);
            } else {
                reservation.abandoned();
            }
        });
    }

    private CompletableFuture<AttemptResult> send(
            CallRequest request, UpstreamTable.Reservation reservation, Deadline deadline) {
        try {
            return sender.send(request, reservation.upstream(), deadline, reservation::setCanceller);
        } catch (RuntimeException e) {
            // The request may already have been sent.
            return CompletableFuture.completedFuture(AttemptResult.failed(AttemptEnd.BROKEN, e.toString()));
        }
    }

    private void onAttemptEnd(Call call, UpstreamTable.Reservation reservation, AttemptResult result) {
        meters.countAttempt(result.end());
        boolean last = call.endAttempt(reservation);
        if (result.end() == AttemptEnd.ANSWERED) {
            onAttemptAnswered(call, reservation, result.answer());
            return;
        }
        if (call.answerAccepted() || result.end() == AttemptEnd.NOT_RUN || timedOutEarly(call, reservation, result)) {
            reservation.abandoned();
        } else {
            reservation.failed();
        }
        call.recordFailure(result);
        if (last && !call.answerAccepted()) {
            resendOrRefuse(call, result);
        }
        drainQueue(call.request());
    }

    private boolean timedOutEarly(Call call, UpstreamTable.Reservation reservation, AttemptResult result) {
        return result.end() == AttemptEnd.TIMED_OUT
                && !RetryPolicy.countsAsFailure(Duration.ofNanos(reservation.elapsed()), usualLatency(call.request()));
    }

    private Duration usualLatency(CallRequest request) {
        return Duration.ofNanos(table.capacity(QueueKey.of(request)).serviceTimeNanos());
    }

    private void onAttemptAnswered(Call call, UpstreamTable.Reservation reservation, UpstreamAnswer answer) {
        if (call.tryAcceptAnswer()) {
            call.runningAttempts().forEach(UpstreamTable.Reservation::cancel);
            listener.onAnswer(call, answer, reservation);
        } else {
            answer.body().cancel(new IOException("another upstream answered first"));
            reservation.abandoned();
        }
    }

    private void resendOrRefuse(Call call, AttemptResult result) {
        Duration remaining = call.request().deadline().remaining(ticker);
        if (retries.tryResend(call.request().kind().idempotent(), result.end(), call.attemptCount(), remaining)) {
            dispatch(call);
        } else {
            listener.onRefusal(call, failure(call, result.end()));
        }
    }

    private static WaxwingheadException failure(Call call, AttemptEnd end) {
        if (end == AttemptEnd.TIMED_OUT) {
            return deadlineExceeded(call);
        }
        if (call.mayHaveRun()) {
            return WaxwingheadException.of(
                    ErrorKind.UNKNOWN_OUTCOME,
                    "it is unknown whether the request ran: " + call.failureReason(),
                    call.request().key().isPresent()
                            ? "resend the request with the same key"
                            : "check its effect before resending the request");
        }
        return WaxwingheadException.of(
                ErrorKind.UNAVAILABLE, "the request was not run: " + call.failureReason(), "resend the request");
    }

    private static WaxwingheadException deadlineExceeded(Call call) {
        return WaxwingheadException.of(
                ErrorKind.DEADLINE_EXCEEDED,
                call.failureReason().isEmpty()
                        ? "the deadline passed while the request was queued"
                        : call.failureReason(),
                "resend the request with a later deadline");
    }
}
