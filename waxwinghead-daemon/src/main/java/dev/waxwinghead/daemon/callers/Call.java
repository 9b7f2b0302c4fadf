package dev.waxwinghead.daemon.callers;

import com.sun.net.httpserver.HttpExchange;
import dev.waxwinghead.daemon.claims.ClaimStore;
import dev.waxwinghead.model.id.UpstreamId;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Future;
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
    private final Set<UpstreamTable.Reservation> running = new HashSet<>();
    private Future<?> hedge;
    private boolean won;
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

    synchronized void startAttempt(UpstreamTable.Reservation reservation) {
        attempts++;
        tried.add(reservation.upstream().id());
        running.add(reservation);
    }

    /** Records the end of an attempt. Returns true if no other one runs. */
    synchronized boolean endAttempt(UpstreamTable.Reservation reservation) {
        running.remove(reservation);
        return running.isEmpty();
    }

    /** Sets what starts a second attempt later; it is dropped once an attempt has won. */
    synchronized void hedgeBy(Future<?> later) {
        hedge = later;
        if (won) {
            hedge.cancel(false);
        }
    }

    /** Makes an attempt's answer the one that the caller gets; true for the first only. */
    synchronized boolean win() {
        boolean first = !won;
        won = true;
        if (hedge != null) {
            hedge.cancel(false);
        }
        return first;
    }

    synchronized boolean won() {
        return won;
    }

    /** Returns the attempts that run. */
    synchronized List<UpstreamTable.Reservation> running() {
        return List.copyOf(running);
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
