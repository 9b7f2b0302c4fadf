package dev.waxwinghead.daemon.claims;

/**
 * Bounds the section's state. Every replica must have the same bounds.
 *
 * @param maxClaims the most claims; further ones are refused
 * @param maxAnswerBytes the most bytes of recorded bodies; the oldest are dropped, and their claims stay
 */
record ClaimBounds(int maxClaims, long maxAnswerBytes) {
    static final ClaimBounds DEFAULT = new ClaimBounds(400_000, 32L * 1024 * 1024);
}
