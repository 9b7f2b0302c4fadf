package dev.waxwinghead.daemon.claims;

/**
 * The result of a command to the claims section or of a lookup.
 *
 * @param status the status of the claim
 * @param answer the recorded answer if the status is {@link Status#ANSWERED}, otherwise null
 */
public record ClaimResult(Status status, RecordedAnswer answer) {
    /** The status of a claim. */
    public enum Status {
        /** The claimant holds the claim and alone may send the request. */
        GRANTED,
        /** The request ran and its answer is recorded. */
        ANSWERED,
        /** Another claimant holds the claim: the request may be running or may have run. */
        HELD,
        /** The key was used for a request with other content. */
        CONFLICT,
        /** The maximum number of claims is reached. */
        FULL,
        /** No one holds a claim of the key. */
        FREE
    }

    static ClaimResult of(Status status) {
        return new ClaimResult(status, null);
    }

    static ClaimResult of(ClaimRecord record, String digest) {
        if (!record.hasDigest(digest)) {
            return of(Status.CONFLICT);
        }
        return record.answer() == null ? of(Status.HELD) : new ClaimResult(Status.ANSWERED, record.answer());
    }
}
