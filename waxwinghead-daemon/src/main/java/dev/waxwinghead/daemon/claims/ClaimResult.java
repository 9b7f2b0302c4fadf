package dev.waxwinghead.daemon.claims;

/**
 * Tells what became of a claim.
 *
 * @param status the status
 * @param answer the recorded answer if the status is {@link Status#ANSWERED}, else null
 */
public record ClaimResult(Status status, RecordedAnswer answer) {
    /** Lists what can become of a claim. */
    public enum Status {
        /** The asker holds the claim and alone may send the request. */
        GRANTED,
        /** The request ran and its answer is recorded. */
        ANSWERED,
        /** Another holds the claim: the request may be running or may have run. */
        HELD,
        /** The key was used for another request. */
        CONFLICT,
        /** No more claims can be kept. */
        FULL,
        /** Nobody holds the claim. */
        FREE
    }

    static ClaimResult of(Status status) {
        return new ClaimResult(status, null);
    }

    static ClaimResult of(ClaimRecord record, String digest) {
        if (!record.isOf(digest)) {
            return of(Status.CONFLICT);
        }
        return record.answer() == null ? of(Status.HELD) : new ClaimResult(Status.ANSWERED, record.answer());
    }
}
