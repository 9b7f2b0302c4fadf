package dev.waxwinghead.daemon.claims;

/** An immutable record of a claim. */
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

    /** Returns the recorded answer, or null if none is recorded. */
    RecordedAnswer answer() {
        return answer;
    }

    boolean hasDigest(String otherDigest) {
        return digest.equals(otherDigest);
    }

    ClaimRecord withAnswer(RecordedAnswer newAnswer) {
        return new ClaimRecord(digest, dispatcher, nonce, claimedAtEpochMillis, newAnswer);
    }
}
