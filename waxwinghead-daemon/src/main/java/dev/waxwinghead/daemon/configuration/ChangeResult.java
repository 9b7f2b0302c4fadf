package dev.waxwinghead.daemon.configuration;

import dev.waxwinghead.model.id.ChangeId;

/**
 * Tells what became of a change.
 *
 * @param status what became of it
 * @param revision the revision the change made, or the one in force that it conflicted with
 * @param detail the change that won for a conflict, the missing key for {@code NOT_FOUND}, else empty
 * @param replayed whether this is the recorded answer of an earlier sending
 */
public record ChangeResult(Status status, long revision, String detail, boolean replayed) {
    /** Lists what can become of a change. The names never change: they are on disk. */
    public enum Status {
        /** It is in force. */
        ACCEPTED,
        /** Another revision is in force than it expected. */
        CONFLICT,
        /** Its id was used before with other content. */
        ID_REUSED,
        /** It deletes something that is not in force. */
        NOT_FOUND
    }

    static ChangeResult accepted(long revision) {
        return new ChangeResult(Status.ACCEPTED, revision, "", false);
    }

    static ChangeResult conflict(long revision, ChangeId winner) {
        return new ChangeResult(Status.CONFLICT, revision, winner.value(), false);
    }

    static ChangeResult idReused(long revision) {
        return new ChangeResult(Status.ID_REUSED, revision, "", false);
    }

    static ChangeResult notFound(long revision, String key) {
        return new ChangeResult(Status.NOT_FOUND, revision, key, false);
    }

    ChangeResult asReplay() {
        return new ChangeResult(status, revision, detail, true);
    }
}
