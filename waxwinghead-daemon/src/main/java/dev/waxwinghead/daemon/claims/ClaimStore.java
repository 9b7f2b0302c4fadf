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

/** Claims keyed requests for one entry host and records their answers. */
public final class ClaimStore {
    private static final Duration RELEASE_TIME = Duration.ofSeconds(5);
    private static final int RELEASES_TRIED = 5;
    private static final long PAUSE_MILLIS = 50;

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
     * Returns a store.
     *
     * @param section the section on this host
     * @param state the shared state
     * @param ticker the monotonic clock
     * @param self this host
     * @param incarnation this life of its process
     * @return the store, never null
     */
    public static ClaimStore create(
            ClaimsSection section, SharedState state, Ticker ticker, HostId self, long incarnation) {
        return new ClaimStore(section, state, ticker, self + "@" + incarnation);
    }

    /** A claim that was asked for; holds it once it is granted. */
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
     * @param content what makes the request the same when it is resent
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
     * Claims a key; while no majority is in reach it tries again until the deadline.
     *
     * @param ticket the ticket
     * @param deadline when to give up
     * @return what became of it; fails if that can't be told or no majority was reached
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
     * @param deadline when to give up
     * @return completes once the answer is recorded
     */
    public CompletableFuture<Void> complete(Ticket ticket, RecordedAnswer answer, Deadline deadline) {
        byte[] command = ClaimCodec.packCommand(new ClaimCommand.Complete(ticket.key.text(), ticket.nonce, answer));
        return propose(command, deadline).thenAccept(result -> {});
    }

    /**
     * Gives up a claim. The holder must never send the request afterwards.
     *
     * @param ticket the ticket
     * @return completes with true once the claim is given up, with false if that failed
     */
    public CompletableFuture<Boolean> release(Ticket ticket) {
        return release(ticket, RELEASES_TRIED);
    }

    /**
     * Returns the claim of a key as the majority has it.
     *
     * @param ticket a ticket for the key
     * @param deadline when to give up
     * @return what became of the key; fails if no majority is in reach
     */
    public CompletableFuture<ClaimResult> lookUp(Ticket ticket, Deadline deadline) {
        return state.readBarrier(deadline)
                .thenApply(index -> known(ticket).orElseGet(() -> ClaimResult.of(ClaimResult.Status.FREE)));
    }

    /**
     * Returns the claim of a key as this host has it; it may have been given up since.
     *
     * @param ticket a ticket for the key
     * @return what this host knows, empty if nothing
     */
    public Optional<ClaimResult> known(Ticket ticket) {
        return section.find(ticket.key.text()).map(record -> ClaimResult.of(record, ticket.digest));
    }

    /**
     * Tells this host's wall clock, by which claims expire.
     *
     * @param host this host
     * @return completes once it is committed
     */
    CompletableFuture<byte[]> tick(HostId host) {
        byte[] command = ClaimCodec.packCommand(new ClaimCommand.Tick(host.value(), System.currentTimeMillis()));
        return state.propose(SectionId.CLAIMS, command, Deadline.after(RELEASE_TIME, ticker));
    }

    private CompletableFuture<Boolean> release(Ticket ticket, int tries) {
        byte[] command = ClaimCodec.packCommand(new ClaimCommand.Release(ticket.key.text(), ticket.nonce));
        return state.propose(SectionId.CLAIMS, command, Deadline.after(RELEASE_TIME, ticker))
                .handle((result, failure) -> failure == null)
                .thenCompose(done -> done || tries <= 1
                        ? CompletableFuture.completedFuture(done)
                        : later(() -> release(ticket, tries - 1)));
    }

    private CompletableFuture<byte[]> propose(byte[] command, Deadline deadline) {
        return state.propose(SectionId.CLAIMS, command, deadline).exceptionallyCompose(failure -> {
            boolean again = WaxwingheadException.from(failure).kind() == ErrorKind.NO_MAJORITY
                    && deadline.remaining(ticker).toMillis() > PAUSE_MILLIS;
            return again ? later(() -> propose(command, deadline)) : CompletableFuture.failedFuture(failure);
        });
    }

    private static <T> CompletableFuture<T> later(Supplier<CompletableFuture<T>> work) {
        return CompletableFuture.completedFuture(work)
                .thenComposeAsync(
                        Supplier::get, CompletableFuture.delayedExecutor(PAUSE_MILLIS, TimeUnit.MILLISECONDS));
    }
}
