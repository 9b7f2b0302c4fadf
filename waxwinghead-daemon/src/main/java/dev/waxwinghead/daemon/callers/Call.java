package dev.waxwinghead.daemon.callers;

import com.sun.net.httpserver.HttpExchange;
import dev.waxwinghead.daemon.claims.ClaimStore;
import dev.waxwinghead.model.id.UpstreamId;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;

/** Follows one request from its arrival to its outcome. */
final class Call {
    private final CallRequest request;
    private final HttpExchange exchange;
    private final Set<UpstreamId> tried = new HashSet<>();
    private final AtomicBoolean finished = new AtomicBoolean();
    private ClaimStore.Ticket ticket;
    private volatile boolean holdsClaim;
    private volatile boolean countedAgainstLimits;
    private int attempts;
    private boolean mayHaveRun;
    private String reason = "";

    private Call(CallRequest request, HttpExchange exchange) {
        this.request = request;
        this.exchange = exchange;
    }

    static Call of(CallRequest request, HttpExchange exchange) {
        return new Call(request, exchange);
    }

    CallRequest request() {
        return request;
    }

    HttpExchange exchange() {
        return exchange;
    }

    /** Records that the limits count the call until it ends. */
    void countsAgainstLimits() {
        countedAgainstLimits = true;
    }

    boolean isCountedAgainstLimits() {
        return countedAgainstLimits;
    }

    /** Returns the ticket of a keyed call, made at the first call. */
    synchronized ClaimStore.Ticket ticket(Function<CallRequest, ClaimStore.Ticket> maker) {
        if (ticket == null) {
            ticket = maker.apply(request);
        }
        return ticket;
    }

    /** Records that the claim of the key is held. */
    void holdClaim() {
        holdsClaim = true;
    }

    boolean holdsClaim() {
        return holdsClaim;
    }

    synchronized Set<UpstreamId> tried() {
        return Set.copyOf(tried);
    }

    synchronized void startAttempt(UpstreamId upstream) {
        attempts++;
        tried.add(upstream);
    }

    synchronized int attempts() {
        return attempts;
    }

    /** Records that an attempt failed. */
    synchronized void attemptFailed(AttemptResult result) {
        mayHaveRun |= result.end().mayHaveRun();
        reason = result.reason();
    }

    /** Tells whether any attempt may have run at an upstream. */
    synchronized boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns what went wrong with the newest attempt. */
    synchronized String reason() {
        return reason;
    }

    /** Claims the right to give the caller the outcome; true once only. */
    boolean finish() {
        return finished.compareAndSet(false, true);
    }
}
