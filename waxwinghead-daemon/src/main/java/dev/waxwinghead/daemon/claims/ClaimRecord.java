package dev.waxwinghead.daemon.claims;

/** Holds the state of one claim. Immutable. */
final class ClaimRecord {
    private final String digest;
    private final String dispatcher;
    private final long nonce;
    private final long claimedAtEpochMillis;
    private final RecordedAnswer answer;

    ClaimRecord(String digest, String dispatcher, long nonce, long claimedAtEpochMillis, RecordedAnswer answer) {
        this.digest = digest;
        this.dispatcher = dispatcher;
        this.nonce = nonce;
        this.claimedAtEpochMillis = claimedAtEpochMillis;
        this.answer = answer;
    }

    String digest() {
        return digest;
    }

    String dispatcher() {
        return dispatcher;
    }

    long nonce() {
        return nonce;
    }

    long claimedAtEpochMillis() {
        return claimedAtEpochMillis;
    }

    /** Returns the recorded answer, null while there is none. */
    RecordedAnswer answer() {
        return answer;
    }

    boolean isOf(String otherDigest) {
        return digest.equals(otherDigest);
    }

    ClaimRecord answered(RecordedAnswer given) {
        return new ClaimRecord(digest, dispatcher, nonce, claimedAtEpochMillis, given);
    }
}
