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

/** Tracks one request from its arrival to its outcome. */
final class Call {
    private final CallRequest request;
    private final HttpExchange exchange;
    private final Set<UpstreamId> triedUpstreams = new HashSet<>();
    private final AtomicBoolean finished = new AtomicBoolean();
    private ClaimStore.Ticket ticket;
    private volatile boolean holdsClaim;
    private volatile boolean countedAgainstLimits;
    private final Set<UpstreamTable.Reservation> runningAttempts = new HashSet<>();
    private Future<?> hedge;
    private boolean answerAccepted;
    private int attemptCount;
    private boolean mayHaveRun;
    private String failureReason = "";

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

    /** Records that the call is counted against the request limits until it ends. */
    void markCountedAgainstLimits() {
        countedAgainstLimits = true;
    }

    boolean isCountedAgainstLimits() {
        return countedAgainstLimits;
    }

    /** Returns the ticket of a keyed call, which the factory creates on the first invocation. */
    synchronized ClaimStore.Ticket ticket(Function<CallRequest, ClaimStore.Ticket> factory) {
        if (ticket == null) {
            ticket = factory.apply(request);
        }
        return ticket;
    }

    /** Records that this call holds the claim of its key. */
    void markClaimHeld() {
        holdsClaim = true;
    }

    boolean holdsClaim() {
        return holdsClaim;
    }

    synchronized Set<UpstreamId> triedUpstreams() {
        return Set.copyOf(triedUpstreams);
    }

    synchronized void startAttempt(UpstreamTable.Reservation reservation) {
        attemptCount++;
        triedUpstreams.add(reservation.upstream().id());
        runningAttempts.add(reservation);
    }

    /** Records the end of an attempt. Returns whether no other attempt is running. */
    synchronized boolean endAttempt(UpstreamTable.Reservation reservation) {
        runningAttempts.remove(reservation);
        return runningAttempts.isEmpty();
    }

    /** Sets the scheduled second attempt, which is cancelled once an answer has been accepted. */
    synchronized void setHedge(Future<?> scheduledAttempt) {
        hedge = scheduledAttempt;
        if (answerAccepted) {
            hedge.cancel(false);
        }
    }

    /** Accepts an attempt's answer as the one forwarded to the caller. Returns true for the first answer only. */
    synchronized boolean tryAcceptAnswer() {
        boolean first = !answerAccepted;
        answerAccepted = true;
        if (hedge != null) {
            hedge.cancel(false);
        }
        return first;
    }

    synchronized boolean answerAccepted() {
        return answerAccepted;
    }

    /** Returns the reservations of the attempts that are running. */
    synchronized List<UpstreamTable.Reservation> runningAttempts() {
        return List.copyOf(runningAttempts);
    }

    synchronized int attemptCount() {
        return attemptCount;
    }

    /** Records that an attempt failed. */
    synchronized void recordFailure(AttemptResult result) {
        mayHaveRun |= result.end().mayHaveRun();
        failureReason = result.reason();
    }

    /** Returns whether any attempt may have been run by an upstream. */
    synchronized boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns the reason for the latest failed attempt, empty if none has failed. */
    synchronized String failureReason() {
        return failureReason;
    }

    /** Claims the right to respond to the caller. Returns true for the first invocation only. */
    boolean tryFinish() {
        return finished.compareAndSet(false, true);
    }
}
