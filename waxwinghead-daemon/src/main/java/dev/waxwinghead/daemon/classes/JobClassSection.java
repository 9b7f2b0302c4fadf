package dev.waxwinghead.daemon.classes;

import dev.waxwinghead.daemon.log.Event;
import dev.waxwinghead.daemon.state.SectionId;
import dev.waxwinghead.daemon.state.StateSection;
import dev.waxwinghead.model.id.ServiceName;
import java.util.Locale;
import java.util.Optional;

/** Holds the latest document of job classes as a section of the shared state. */
public final class JobClassSection implements StateSection {
    private static final byte[] EMPTY_SNAPSHOT = {};

    private volatile JobClassDirectory current;

    private JobClassSection() {}

    /**
     * Creates a section without a document.
     *
     * @return the section, never null
     */
    public static JobClassSection create() {
        return new JobClassSection();
    }

    /**
     * Returns the latest document that this host has applied.
     *
     * @return the directory of the document, or empty if there is none
     */
    public Optional<JobClassDirectory> current() {
        return Optional.ofNullable(current);
    }

    /**
     * Returns whether the latest document that this host has applied declares a service.
     *
     * @param service the service
     * @return true if the document declares the service, false if it does not or there is no document
     */
    public boolean declares(ServiceName service) {
        JobClassDirectory directory = current;
        return directory != null && directory.document().services().contains(service);
    }

    @Override
    public SectionId id() {
        return SectionId.JOB_CLASSES;
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        JobClassDocument document = JobClassCodec.unpack(command);
        ReplaceResult.Outcome outcome = decide(document);
        if (outcome == ReplaceResult.Outcome.REPLACED) {
            current = JobClassDirectory.of(document);
        }
        long version = current.document().version();
        Event.of("job-classes-" + outcome.name().toLowerCase(Locale.ROOT))
                .with("version", document.version())
                .with("inForce", version)
                .with("digest", document.digest())
                .with("index", index)
                .write();
        return JobClassCodec.pack(new ReplaceResult(outcome, version));
    }

    private ReplaceResult.Outcome decide(JobClassDocument document) {
        if (current == null || document.version() > current.document().version()) {
            return ReplaceResult.Outcome.REPLACED;
        }
        if (document.version() < current.document().version()) {
            return ReplaceResult.Outcome.SUPERSEDED;
        }
        boolean sameContent = document.digest().equals(current.document().digest());
        return sameContent ? ReplaceResult.Outcome.REPEATED : ReplaceResult.Outcome.CONFLICT;
    }

    @Override
    public byte[] snapshot() {
        return current == null ? EMPTY_SNAPSHOT : JobClassCodec.pack(current.document());
    }

    @Override
    public void restore(byte[] snapshot) {
        current = snapshot.length == 0 ? null : JobClassDirectory.of(JobClassCodec.unpack(snapshot));
    }
}
