package dev.waxwinghead.daemon.claims;

import dev.waxwinghead.daemon.state.SectionId;
import dev.waxwinghead.daemon.state.SharedState;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.Base64;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Claims keyed requests on behalf of an entry host and records their answers. */
public final class ClaimStore {
    private static final Duration PROPOSAL_TIMEOUT = Duration.ofSeconds(5);
    private static final int MAX_RELEASE_ATTEMPTS = 5;
    private static final long RETRY_DELAY_MILLIS = 50;

    private final ClaimsSection section;
    private final SharedState state;
    private final Ticker ticker;
    private final String dispatcher;

    private ClaimStore(ClaimsSection section, SharedState state, Ticker ticker, String dispatcher) {
        this.section = section;
        this.state = state;
        this.ticker = ticker;
        this.dispatcher = dispatcher;
    }

    /**
     * Creates a store.
     *
     * @param section the claims section of this host
     * @param state the shared state
     * @param ticker the monotonic clock
     * @param self this host
     * @param incarnation the incarnation of this host's process
     * @return the store, never null
     */
    public static ClaimStore create(
            ClaimsSection section, SharedState state, Ticker ticker, HostId self, long incarnation) {
        return new ClaimStore(section, state, ticker, self + "@" + incarnation);
    }

    /** Identifies one request for a claim, and the claim itself once granted. */
    public static final class Ticket {
        private final ClaimKey key;
        private final String digest;
        private final long nonce = ThreadLocalRandom.current().nextLong();

        private Ticket(ClaimKey key, String digest) {
            this.key = key;
            this.digest = digest;
        }
    }

    /**
     * Returns a ticket for a request.
     *
     * @param key the key
     * @param content the content that a resend of the request must repeat
     * @return the ticket, never null
     */
    public static Ticket ticket(ClaimKey key, byte[]... content) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            for (byte[] part : content) {
                digest.update(Integer.toString(part.length).getBytes(StandardCharsets.US_ASCII));
                digest.update((byte) 0);
                digest.update(part);
            }
            return new Ticket(key, Base64.getEncoder().withoutPadding().encodeToString(digest.digest()));
        } catch (NoSuchAlgorithmException e) {
            throw WaxwingheadException.of(ErrorKind.INTERNAL, "SHA-256 is missing", "use a complete Java runtime", e);
        }
    }

    /**
     * Claims a key. Retries until the deadline while no majority is in reach.
     *
     * @param ticket the ticket
     * @param deadline the time at which to give up
     * @return the result; fails if the outcome is unknown or no majority was in reach
     */
    public CompletableFuture<ClaimResult> claim(Ticket ticket, Deadline deadline) {
        byte[] command = ClaimCodec.packCommand(new ClaimCommand.Claim(
                ticket.key.text(), ticket.digest, dispatcher, ticket.nonce, System.currentTimeMillis()));
        return propose(command, deadline).thenApply(ClaimCodec::unpackResult);
    }

    /**
     * Records the answer of a claimed request.
     *
     * @param ticket the ticket that was granted
     * @param answer the answer
     * @param deadline the time at which to give up
     * @return completes once the answer is recorded
     */
    public CompletableFuture<Void> complete(Ticket ticket, RecordedAnswer answer, Deadline deadline) {
        byte[] command = ClaimCodec.packCommand(new ClaimCommand.Complete(ticket.key.text(), ticket.nonce, answer));
        return propose(command, deadline).thenAccept(result -> {});
    }

    /**
     * Releases a claim. The holder must never send the request afterwards.
     *
     * @param ticket the ticket
     * @return completes with whether the claim was released
     */
    public CompletableFuture<Boolean> release(Ticket ticket) {
        return release(ticket, MAX_RELEASE_ATTEMPTS);
    }

    /**
     * Returns the claim of a key as of the last commit by a majority.
     *
     * @param ticket a ticket for the key
     * @param deadline the time at which to give up
     * @return the state of the claim; fails if no majority is in reach
     */
    public CompletableFuture<ClaimResult> lookUp(Ticket ticket, Deadline deadline) {
        return state.readBarrier(deadline)
                .thenApply(index -> findLocal(ticket).orElseGet(() -> ClaimResult.of(ClaimResult.Status.FREE)));
    }

    /**
     * Returns the claim of a key as this host knows it. The claim may have been released since.
     *
     * @param ticket a ticket for the key
     * @return the state of the claim, or empty if this host knows none
     */
    public Optional<ClaimResult> findLocal(Ticket ticket) {
        return section.find(ticket.key.text()).map(record -> ClaimResult.of(record, ticket.digest));
    }

    /**
     * Records this host's wall clock, on which the expiry of claims depends.
     *
     * @param host this host
     * @return completes once the record is committed
     */
    CompletableFuture<byte[]> recordClock(HostId host) {
        byte[] command = ClaimCodec.packCommand(new ClaimCommand.RecordClock(host.value(), System.currentTimeMillis()));
        return state.propose(SectionId.CLAIMS, command, Deadline.after(PROPOSAL_TIMEOUT, ticker));
    }

    private CompletableFuture<Boolean> release(Ticket ticket, int attemptsLeft) {
        byte[] command = ClaimCodec.packCommand(new ClaimCommand.Release(ticket.key.text(), ticket.nonce));
        return state.propose(SectionId.CLAIMS, command, Deadline.after(PROPOSAL_TIMEOUT, ticker))
                .handle((result, failure) -> failure == null)
                .thenCompose(done -> done || attemptsLeft <= 1
                        ? CompletableFuture.completedFuture(done)
                        : afterDelay(() -> release(ticket, attemptsLeft - 1)));
    }

    private CompletableFuture<byte[]> propose(byte[] command, Deadline deadline) {
        return state.propose(SectionId.CLAIMS, command, deadline).exceptionallyCompose(failure -> {
            boolean retry = WaxwingheadException.from(failure).kind() == ErrorKind.NO_MAJORITY
                    && deadline.remaining(ticker).toMillis() > RETRY_DELAY_MILLIS;
            return retry ? afterDelay(() -> propose(command, deadline)) : CompletableFuture.failedFuture(failure);
        });
    }

    private static <T> CompletableFuture<T> afterDelay(Supplier<CompletableFuture<T>> work) {
        return CompletableFuture.completedFuture(work)
                .thenComposeAsync(
                        Supplier::get, CompletableFuture.delayedExecutor(RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS));
    }
}
