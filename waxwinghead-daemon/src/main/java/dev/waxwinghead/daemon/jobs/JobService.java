package dev.waxwinghead.daemon.jobs;

import dev.waxwinghead.daemon.classes.JobClass;
import dev.waxwinghead.daemon.classes.JobClassDirectory;
import dev.waxwinghead.daemon.classes.JobClassSection;
import dev.waxwinghead.daemon.log.Event;
import dev.waxwinghead.daemon.state.SectionId;
import dev.waxwinghead.daemon.state.SharedState;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.JobClassName;
import dev.waxwinghead.model.id.JobId;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import dev.waxwinghead.scheduling.job.JobCommand;
import dev.waxwinghead.scheduling.job.JobOutcome;
import dev.waxwinghead.scheduling.job.JobRecord;
import dev.waxwinghead.scheduling.job.JobSubmission;
import dev.waxwinghead.scheduling.job.JobTable;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** Answers calls about jobs on the host that acts as their scheduler. */
final class JobService {
    /** How long a change may wait for its commit; callers give up sooner and ask again. */
    private static final Duration COMMIT_TIMEOUT = Duration.ofSeconds(3);

    private final SharedState sharedState;
    private final JobClassSection classes;
    private final JobTable table;
    private final JobEngine engine;
    private final Supplier<Optional<HostId>> leader;
    private final Ticker ticker;
    private final LongSupplier epochMillis;

    JobService(
            SharedState sharedState,
            JobClassSection classes,
            JobTable table,
            JobEngine engine,
            Supplier<Optional<HostId>> leader,
            Ticker ticker,
            LongSupplier epochMillis) {
        this.sharedState = sharedState;
        this.classes = classes;
        this.table = table;
        this.engine = engine;
        this.leader = leader;
        this.ticker = ticker;
        this.epochMillis = epochMillis;
    }

    /** Answers a call; fails with a typed exception where the call itself is at fault. */
    CompletableFuture<JobAnswer> answer(JobCall call) {
        if (!engine.acting()) {
            return CompletableFuture.completedFuture(new JobAnswer.NotActing(leader.get()));
        }
        try {
            Resolved resolved = resolve(call.target());
            if (call instanceof JobCall.Submit submit) {
                return submit(submit, resolved);
            }
            return call instanceof JobCall.Read ? read(resolved) : cancel(resolved);
        } catch (WaxwingheadException e) {
            Event.of("job-call-refused")
                    .with("path", call.target().path())
                    .with("kind", e.kind())
                    .with("message", e.getMessage())
                    .write();
            return CompletableFuture.failedFuture(e);
        }
    }

    private Resolved resolve(JobTarget target) {
        JobClassDirectory directory = classes.current()
                .orElseThrow(() -> WaxwingheadException.of(
                        ErrorKind.UNAVAILABLE,
                        "there are no job classes yet",
                        "try again once the operator has sent them"));
        long version = directory.document().version();
        if (!target.host().isEmpty()) {
            JobClass jobClass = directory
                    .find(target.host(), target.path())
                    .orElseThrow(() -> noClass(target.host() + target.path(), version));
            return new Resolved(
                    jobClass, target.path().substring(jobClass.pathPrefix().length()), version);
        }
        int slash = target.path().indexOf('/');
        String name = slash < 0 ? target.path() : target.path().substring(0, slash);
        JobClass jobClass = directory.find(JobClassName.of(name)).orElseThrow(() -> noClass(name, version));
        return new Resolved(jobClass, slash < 0 ? "" : target.path().substring(slash + 1), version);
    }

    private static WaxwingheadException noClass(String name, long version) {
        return WaxwingheadException.of(
                ErrorKind.NOT_FOUND,
                "version " + version + " has no job class for " + name,
                "correct the address, or let the operator add the class");
    }

    private CompletableFuture<JobAnswer> submit(JobCall.Submit submit, Resolved resolved) {
        JobSubmission submission =
                new JobSubmission(JobId.of(resolved.rest()), submit.payload(), submit.steps(), submit.schedule());
        JobCommand.Accept accept =
                new JobCommand.Accept(submission, resolved.jobClass().terms(), epochMillis.getAsLong());
        synchronized (table) {
            if (table.find(submission.id()).isPresent()) {
                noteAccepted(submission.id(), resolved, JobOutcome.REPEATED);
                return CompletableFuture.completedFuture(new JobAnswer.Accepted());
            }
        }
        return propose(accept).thenApply(outcome -> {
            noteAccepted(submission.id(), resolved, outcome);
            return new JobAnswer.Accepted();
        });
    }

    private static void noteAccepted(JobId job, Resolved resolved, JobOutcome outcome) {
        Event.of("job-accepted")
                .with("job", job)
                .with("class", resolved.jobClass().name())
                .with("classesVersion", resolved.version())
                .with("outcome", outcome)
                .write();
    }

    private CompletableFuture<JobAnswer> read(Resolved resolved) {
        synchronized (table) {
            if (resolved.rest().isEmpty()) {
                int queued = table.queued(resolved.jobClass().name());
                return CompletableFuture.completedFuture(new JobAnswer.Queued(queued));
            }
            Optional<JobRecord> job = table.find(JobId.of(resolved.rest()));
            JobAnswer answer = job.<JobAnswer>map(known -> new JobAnswer.Known(known.state()))
                    .orElseGet(JobAnswer.Absent::new);
            return CompletableFuture.completedFuture(answer);
        }
    }

    private CompletableFuture<JobAnswer> cancel(Resolved resolved) {
        JobId id = JobId.of(resolved.rest());
        return propose(new JobCommand.Cancel(id)).thenApply(outcome -> {
            Event.of("job-canceled").with("job", id).with("outcome", outcome).write();
            return canceled(id, outcome);
        });
    }

    private JobAnswer canceled(JobId id, JobOutcome outcome) {
        if (outcome == JobOutcome.UNKNOWN_JOB) {
            return new JobAnswer.Absent();
        }
        synchronized (table) {
            return table.find(id)
                    .<JobAnswer>map(job -> new JobAnswer.Known(job.state()))
                    .orElseGet(JobAnswer.Absent::new);
        }
    }

    private CompletableFuture<JobOutcome> propose(JobCommand command) {
        return sharedState
                .propose(SectionId.JOBS, JobCodec.pack(command), Deadline.after(COMMIT_TIMEOUT, ticker))
                .thenApply(JobCodec::unpackOutcome);
    }

    /**
     * Holds what a target names.
     *
     * @param jobClass the class
     * @param rest the rest of the path: a job's id, or empty
     * @param version the version of the classes that named it
     */
    private record Resolved(JobClass jobClass, String rest, long version) {}
}
