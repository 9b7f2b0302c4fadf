package dev.waxwinghead.daemon.configuration;

import dev.waxwinghead.model.id.ChangeId;

/**
 * The result of a configuration change.
 *
 * @param status the status of the change
 * @param revision the revision that the change made, or the revision in force if the change was not accepted
 * @param detail the id of the latest accepted change for {@code CONFLICT}, the missing key for {@code NOT_FOUND},
 *     otherwise empty
 * @param replayed whether this is the recorded result of an earlier submission
 */
public record ChangeResult(Status status, long revision, String detail, boolean replayed) {
    /** The status of a change. The names are stored on disk and never change. */
    public enum Status {
        /** The change is in force. */
        ACCEPTED,
        /** The revision in force is not the one that the change expects. */
        CONFLICT,
        /** The id of the change was used before with other content. */
        ID_REUSED,
        /** The change deletes a manifest that is not in force. */
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
