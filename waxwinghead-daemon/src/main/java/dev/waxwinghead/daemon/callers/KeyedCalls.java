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
 * Coordinates keyed requests through the shared state: the claim of a key is committed before the request is sent, and
 * the answer is recorded before the caller receives it.
 *
 * <p>A keyed request is reported as not run only if a majority confirms that no host holds a claim of its key, or if
 * this host held the claim, no attempt can have run and the claim was released.
 */
final class KeyedCalls {
    private static final Duration CLAIM_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration RECORD_TIMEOUT = Duration.ofSeconds(1);

    private final ClaimStore store;
    private final Ticker ticker;
    private final Executor executor;
    private final CallContinuation continuation;

    private KeyedCalls(ClaimStore store, Ticker ticker, Executor executor, CallContinuation continuation) {
        this.store = store;
        this.ticker = ticker;
        this.executor = executor;
        this.continuation = continuation;
    }

    /** Continues a call once the state of its key is known. */
    interface CallContinuation {
        /** Dispatches a call that holds the claim of its key. */
        void dispatch(Call call);

        /** Responds to the caller with a recorded answer. */
        void replay(Call call, RecordedAnswer answer);

        /** Refuses the call. */
        void refuse(Call call, Outcome outcome, WaxwingheadException failure);
    }

    static KeyedCalls create(ClaimStore store, Ticker ticker, Executor executor, CallContinuation continuation) {
        return new KeyedCalls(store, ticker, executor, continuation);
    }

    /** Claims the key of a call and then dispatches, replays or refuses the call. */
    void claimAndDispatch(Call call) {
        ClaimStore.Ticket ticket = ticket(call);
        Optional<ClaimResult> known = store.findLocal(ticket);
        if (known.isPresent() && known.get().status() == ClaimResult.Status.ANSWERED) {
            continuation.replay(call, known.get().answer());
            return;
        }
        Deadline deadline = call.request().deadline().earlier(Deadline.after(CLAIM_TIMEOUT, ticker));
        store.claim(ticket, deadline)
                .whenComplete((result, failure) -> executor.execute(() -> onClaimEnd(call, result, failure)))
                .exceptionally(failure -> null);
    }

    /** Refuses a call that received no answer, with the outcome that can be established. */
    void refuse(Call call, WaxwingheadException failure) {
        if (call.mayHaveRun()) {
            continuation.refuse(call, Outcome.UNKNOWN, failure);
        } else if (call.holdsClaim()) {
            store.release(ticket(call))
                    .whenComplete((done, ignored) ->
                            executor.execute(() -> continuation.refuse(call, Outcome.NOT_RUN, failure)))
                    .exceptionally(ignored -> null);
        } else {
            store.lookUp(ticket(call), Deadline.after(RECORD_TIMEOUT, ticker))
                    .whenComplete((result, unread) -> executor.execute(() -> respondByKeyState(call, result, failure)))
                    .exceptionally(ignored -> null);
        }
    }

    /** Records an answer and then runs the response, even if the answer could not be recorded. */
    void record(Call call, RecordedAnswer answer, Runnable response) {
        Deadline deadline = Deadline.after(RECORD_TIMEOUT, ticker);
        store.complete(ticket(call), answer, deadline)
                .whenComplete((done, failure) -> executor.execute(response))
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

    private void onClaimEnd(Call call, ClaimResult result, Throwable failure) {
        if (failure == null) {
            onClaimResult(call, result);
        } else {
            onClaimFailure(call, WaxwingheadException.from(failure));
        }
    }

    private void onClaimResult(Call call, ClaimResult result) {
        switch (result.status()) {
            case GRANTED -> {
                call.markClaimHeld();
                continuation.dispatch(call);
            }
            case ANSWERED, HELD, CONFLICT -> respondByKeyState(call, result, alreadyClaimed());
            case FULL, FREE ->
                refuse(
                        call,
                        WaxwingheadException.of(
                                ErrorKind.LIMITED,
                                "the limit on claims of keyed requests is reached",
                                "resend the request later; operators: see the metric waxwinghead.claims"));
        }
    }

    private void onClaimFailure(Call call, WaxwingheadException failure) {
        if (failure.kind() == ErrorKind.NO_MAJORITY) {
            refuse(call, failure);
            return;
        }
        // The claim may still be committed later; it is released because this call is never sent.
        store.release(ticket(call)).exceptionally(ignored -> false);
        continuation.refuse(call, Outcome.UNKNOWN, failure);
    }

    /**
     * Responds to a call according to the state of its key.
     *
     * @param result the state of the key, null if it could not be read
     * @param failure the failure that is reported if the key is free
     */
    private void respondByKeyState(Call call, ClaimResult result, WaxwingheadException failure) {
        if (result == null) {
            continuation.refuse(call, Outcome.UNKNOWN, failure);
            return;
        }
        switch (result.status()) {
            case ANSWERED -> continuation.replay(call, result.answer());
            case HELD -> continuation.refuse(call, Outcome.UNKNOWN, alreadyClaimed());
            case CONFLICT -> continuation.refuse(call, Outcome.NOT_RUN, conflict(call));
            case GRANTED, FULL, FREE -> continuation.refuse(call, Outcome.NOT_RUN, failure);
        }
    }

    private static WaxwingheadException alreadyClaimed() {
        return WaxwingheadException.of(
                ErrorKind.UNKNOWN_OUTCOME,
                "a request with this key is running, or ran without a recorded answer",
                "resend the request later with the same key, or check its effect");
    }

    private static WaxwingheadException conflict(Call call) {
        return WaxwingheadException.of(
                ErrorKind.CONFLICT,
                "the key " + call.request().key().orElseThrow() + " was already used for a different request",
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
