package dev.waxwinghead.daemon.claims;

/**
 * Limits the size of the claims section. All replicas must have the same limits.
 *
 * @param maxClaims the maximum number of claims; further claims are rejected
 * @param maxAnswerBytes the maximum total size of recorded bodies, in bytes; beyond it the oldest answers are dropped
 *     and their claims stay
 */
record ClaimBounds(int maxClaims, long maxAnswerBytes) {
    static final ClaimBounds DEFAULT = new ClaimBounds(400_000, 32L * 1024 * 1024);
}
