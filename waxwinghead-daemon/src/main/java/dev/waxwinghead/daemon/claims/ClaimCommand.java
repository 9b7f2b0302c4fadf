package dev.waxwinghead.daemon.claims;

/** Lists the commands of the section; sealed so that each is handled. */
sealed interface ClaimCommand {
    /** Claims a key for a dispatcher. */
    record Claim(String key, String digest, String dispatcher, long nonce, long epochMillis) implements ClaimCommand {}

    /** Records the answer under the claim with the nonce. */
    record Complete(String key, long nonce, RecordedAnswer answer) implements ClaimCommand {}

    /** Gives up the claim with the nonce: its dispatcher sent nothing that ran, and never will. */
    record Release(String key, long nonce) implements ClaimCommand {}

    /** Tells a host's wall clock; claims expire by the median of the hosts' clocks. */
    record Tick(String host, long epochMillis) implements ClaimCommand {}
}
