package dev.waxwinghead.daemon.claims;

/** A command to the claims section. Sealed, so that every command is handled. */
sealed interface ClaimCommand {
    /** Claims a key for a dispatcher: an entry host's process, written as {@code host@incarnation}. */
    record Claim(String key, String digest, String dispatcher, long nonce, long epochMillis) implements ClaimCommand {}

    /** Records the answer under the claim with the nonce. */
    record Complete(String key, long nonce, RecordedAnswer answer) implements ClaimCommand {}

    /** Releases the claim with the nonce: its dispatcher has sent no request that ran, and never will. */
    record Release(String key, long nonce) implements ClaimCommand {}

    /** Records a host's wall clock; claims expire by the median of the hosts' clocks. */
    record RecordClock(String host, long epochMillis) implements ClaimCommand {}
}
