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
     * Creates a service.
     *
     * @param sharedState the shared state
     * @param section the section of this host
     * @return the service, never null
     */
    public static JobClassService of(SharedState sharedState, JobClassSection section) {
        return new JobClassService(sharedState, section);
    }

    /**
     * Proposes a document.
     *
     * @param document the document
     * @param deadline the time at which to give up waiting
     * @return the result; fails with kind {@code CONFLICT} if other content is in force under the same version, with
     *     {@code NO_MAJORITY} if the document was not accepted and with {@code UNKNOWN_OUTCOME} if it may yet be
     */
    public CompletableFuture<ReplaceResult> replace(JobClassDocument document, Deadline deadline) {
        return sharedState
                .propose(SectionId.JOB_CLASSES, JobClassCodec.pack(document), deadline)
                .thenApply(JobClassCodec::unpackResult)
                .thenApply(result -> rejectConflict(document, result));
    }

    /**
     * Reads the latest document, as confirmed by a majority.
     *
     * @param deadline the time at which to give up waiting
     * @return the document; fails with kind {@code UNAVAILABLE} if there is none yet, and with {@code NO_MAJORITY} if
     *     no majority confirms it
     */
    public CompletableFuture<JobClassDocument> read(Deadline deadline) {
        return sharedState
                .readBarrier(deadline)
                .thenApply(index -> section.current()
                        .orElseThrow(JobClassService::noJobClasses)
                        .document());
    }

    private static ReplaceResult rejectConflict(JobClassDocument document, ReplaceResult result) {
        if (result.outcome() == ReplaceResult.Outcome.CONFLICT) {
            throw WaxwingheadException.of(
                    ErrorKind.CONFLICT,
                    "version " + document.version() + " of the job classes is in force with other content",
                    "read the document in force and send the change under a higher version");
        }
        return result;
    }

    private static WaxwingheadException noJobClasses() {
        return WaxwingheadException.of(
                ErrorKind.UNAVAILABLE, "no job classes are in force yet", "retry once the operator has sent them");
    }
}
