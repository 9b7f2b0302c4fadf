package dev.waxwinghead.daemon.classes;

import dev.waxwinghead.daemon.state.SectionId;
import dev.waxwinghead.daemon.state.SharedState;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.time.Deadline;
import java.util.concurrent.CompletableFuture;

/** Replaces and reads the document of job classes for operators. */
public final class JobClassService {
    private final SharedState sharedState;
    private final JobClassSection section;

    private JobClassService(SharedState sharedState, JobClassSection section) {
        this.sharedState = sharedState;
        this.section = section;
    }

    /**
     * Returns a service over the shared state.
     *
     * @param sharedState the shared state
     * @param section this host's section
     * @return the service, never null
     */
    public static JobClassService of(SharedState sharedState, JobClassSection section) {
        return new JobClassService(sharedState, section);
    }

    /**
     * Proposes a document.
     *
     * @param document the document
     * @param deadline when to give up waiting
     * @return what became of it; fails with kind {@code CONFLICT} if other content is in force under its version, with
     *     {@code NO_MAJORITY} if it was surely not accepted and with {@code UNKNOWN_OUTCOME} if it may be
     */
    public CompletableFuture<ReplaceResult> replace(JobClassDocument document, Deadline deadline) {
        return sharedState
                .propose(SectionId.JOB_CLASSES, JobClassCodec.pack(document), deadline)
                .thenApply(JobClassCodec::unpackResult)
                .thenApply(result -> refuseConflict(document, result));
    }

    /**
     * Reads the newest document, as a majority confirms.
     *
     * @param deadline when to give up waiting
     * @return the document; fails with kind {@code UNAVAILABLE} if there is none yet, and with {@code NO_MAJORITY} if
     *     it can't be confirmed
     */
    public CompletableFuture<JobClassDocument> read(Deadline deadline) {
        return sharedState
                .readBarrier(deadline)
                .thenApply(index ->
                        section.current().orElseThrow(JobClassService::missing).document());
    }

    private static ReplaceResult refuseConflict(JobClassDocument document, ReplaceResult result) {
        if (result.outcome() == ReplaceResult.Outcome.CONFLICT) {
            throw WaxwingheadException.of(
                    ErrorKind.CONFLICT,
                    "version " + document.version() + " is in force with other content",
                    "read the document in force and send the change under a higher version");
        }
        return result;
    }

    private static WaxwingheadException missing() {
        return WaxwingheadException.of(
                ErrorKind.UNAVAILABLE, "there are no job classes yet", "try again once the operator has sent them");
    }
}
