package dev.waxwinghead.daemon.callers;

import dev.waxwinghead.daemon.claims.ClaimKey;
import dev.waxwinghead.daemon.claims.ClaimResult;
import dev.waxwinghead.daemon.claims.ClaimStore;
import dev.waxwinghead.daemon.claims.RecordedAnswer;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;

/**
 * Takes keyed requests through the shared state: the claim is committed before the request is sent, and the answer is
 * recorded before the caller gets it.
 *
 * <p>A key is said to be not run only if the majority confirms that nobody holds a claim of it, or if this host held
 * the claim, sent nothing that ran and gave it up.
 */
final class KeyedCalls {
    private static final Duration CLAIM_TIME = Duration.ofSeconds(2);
    private static final Duration RECORD_TIME = Duration.ofSeconds(1);

    private final ClaimStore store;
    private final Ticker ticker;
    private final Executor executor;
    private final Endings endings;

    private KeyedCalls(ClaimStore store, Ticker ticker, Executor executor, Endings endings) {
        this.store = store;
        this.ticker = ticker;
        this.executor = executor;
        this.endings = endings;
    }

    /** Goes on with a call once its claim is settled. */
    interface Endings {
        /** The claim is held: the call may be sent. */
        void dispatch(Call call);

        /** Gives the caller an answer that was recorded earlier. */
        void replay(Call call, RecordedAnswer answer);

        /** Refuses the call. */
        void refuse(Call call, Outcome outcome, WaxwingheadException failure);
    }

    static KeyedCalls create(ClaimStore store, Ticker ticker, Executor executor, Endings endings) {
        return new KeyedCalls(store, ticker, executor, endings);
    }

    /** Claims the call's key and goes on with it. */
    void begin(Call call) {
        ClaimStore.Ticket ticket = ticket(call);
        Optional<ClaimResult> known = store.known(ticket);
        if (known.isPresent() && known.get().status() == ClaimResult.Status.ANSWERED) {
            endings.replay(call, known.get().answer());
            return;
        }
        Deadline deadline = call.request().deadline().earlier(Deadline.after(CLAIM_TIME, ticker));
        store.claim(ticket, deadline)
                .whenComplete((result, failure) -> executor.execute(() -> settle(call, result, failure)))
                .exceptionally(failure -> null);
    }

    /** Refuses a call for which no answer came, with the outcome that is sure. */
    void refuse(Call call, WaxwingheadException failure) {
        if (call.mayHaveRun()) {
            endings.refuse(call, Outcome.UNKNOWN, failure);
        } else if (call.holdsClaim()) {
            store.release(ticket(call))
                    .whenComplete(
                            (done, ignored) -> executor.execute(() -> endings.refuse(call, Outcome.NOT_RUN, failure)))
                    .exceptionally(ignored -> null);
        } else {
            store.lookUp(ticket(call), Deadline.after(RECORD_TIME, ticker))
                    .whenComplete((result, unread) -> executor.execute(() -> refuseAs(call, result, failure)))
                    .exceptionally(ignored -> null);
        }
    }

    /** Records an answer, then goes on; an answer that can't be recorded is passed on all the same. */
    void record(Call call, RecordedAnswer answer, Runnable then) {
        Deadline deadline = Deadline.after(RECORD_TIME, ticker);
        store.complete(ticket(call), answer, deadline)
                .whenComplete((done, failure) -> executor.execute(then))
                .exceptionally(failure -> null);
    }

    /** Returns the headers of a replayed answer. */
    static Map<String, List<String>> replayHeaders(RecordedAnswer answer) {
        Map<String, List<String>> headers = new LinkedHashMap<>(answer.headers());
        headers.put(HeaderRules.OUTCOME, List.of(Outcome.ANSWERED.text()));
        headers.put(HeaderRules.UPSTREAM, List.of(answer.upstream()));
        headers.put(HeaderRules.REPLAYED, List.of("true"));
        return headers;
    }

    private void settle(Call call, ClaimResult result, Throwable failure) {
        if (failure == null) {
            claimed(call, result);
        } else {
            claimFailed(call, WaxwingheadException.from(failure));
        }
    }

    private void claimed(Call call, ClaimResult result) {
        switch (result.status()) {
            case GRANTED -> {
                call.holdClaim();
                endings.dispatch(call);
            }
            case ANSWERED, HELD, CONFLICT -> refuseAs(call, result, held());
            case FULL, FREE ->
                refuse(
                        call,
                        WaxwingheadException.of(
                                ErrorKind.LIMITED,
                                "the claims of keyed requests are full",
                                "send it again later; operators: see the metric waxwinghead.claims"));
        }
    }

    private void claimFailed(Call call, WaxwingheadException failure) {
        if (failure.kind() == ErrorKind.NO_MAJORITY) {
            refuse(call, failure);
            return;
        }
        // The claim may be committed later; it is given up, since this call will never be sent.
        store.release(ticket(call)).exceptionally(ignored -> false);
        endings.refuse(call, Outcome.UNKNOWN, failure);
    }

    /** Refuses a call by the state of its key, null if that can't be told. */
    private void refuseAs(Call call, ClaimResult result, WaxwingheadException failure) {
        if (result == null) {
            endings.refuse(call, Outcome.UNKNOWN, failure);
            return;
        }
        switch (result.status()) {
            case ANSWERED -> endings.replay(call, result.answer());
            case HELD -> endings.refuse(call, Outcome.UNKNOWN, held());
            case CONFLICT -> endings.refuse(call, Outcome.NOT_RUN, conflict(call));
            case GRANTED, FULL, FREE -> endings.refuse(call, Outcome.NOT_RUN, failure);
        }
    }

    private static WaxwingheadException held() {
        return WaxwingheadException.of(
                ErrorKind.UNKNOWN_OUTCOME,
                "a request with this key is running, or ran without a recorded answer",
                "send it again later with the same key, or check its effect");
    }

    private static WaxwingheadException conflict(Call call) {
        return WaxwingheadException.of(
                ErrorKind.CONFLICT,
                "the key " + call.request().key().orElseThrow() + " was used for another request",
                "use a new key for a new request, and the same body for a resend");
    }

    private static ClaimStore.Ticket ticket(Call call) {
        return call.ticket(KeyedCalls::newTicket);
    }

    private static ClaimStore.Ticket newTicket(CallRequest request) {
        ClaimKey key =
                new ClaimKey(request.tenant(), request.service(), request.key().orElseThrow());
        return ClaimStore.ticket(
                key,
                request.method().getBytes(StandardCharsets.UTF_8),
                request.target().getBytes(StandardCharsets.UTF_8),
                request.body());
    }
}
