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

/** Answers calls about jobs on the host that acts as the scheduler. */
final class JobService {
    /** The time limit for a commit; callers give up sooner and retry. */
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

    /** Answers a call. Fails with the kind of the error if the call itself is invalid. */
    CompletableFuture<JobAnswer> answer(JobCall call) {
        if (!engine.acting()) {
            return CompletableFuture.completedFuture(new JobAnswer.NotActing(leader.get()));
        }
        try {
            ResolvedTarget resolved = resolve(call.target());
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

    private ResolvedTarget resolve(JobTarget target) {
        JobClassDirectory directory = classes.current()
                .orElseThrow(() -> WaxwingheadException.of(
                        ErrorKind.UNAVAILABLE,
                        "no job classes are in force yet",
                        "retry once the operator has sent them"));
        long version = directory.document().version();
        if (!target.host().isEmpty()) {
            JobClass jobClass = directory
                    .find(target.host(), target.path())
                    .orElseThrow(() -> unknownClass(target.host() + target.path(), version));
            return new ResolvedTarget(
                    jobClass, target.path().substring(jobClass.pathPrefix().length()), version);
        }
        int slash = target.path().indexOf('/');
        String name = slash < 0 ? target.path() : target.path().substring(0, slash);
        JobClass jobClass = directory.find(JobClassName.of(name)).orElseThrow(() -> unknownClass(name, version));
        return new ResolvedTarget(jobClass, slash < 0 ? "" : target.path().substring(slash + 1), version);
    }

    private static WaxwingheadException unknownClass(String name, long version) {
        return WaxwingheadException.of(
                ErrorKind.NOT_FOUND,
                "version " + version + " of the job classes has no class for " + name,
                "correct the address, or have the operator add the class");
    }

    private CompletableFuture<JobAnswer> submit(JobCall.Submit submit, ResolvedTarget resolved) {
        JobSubmission submission =
                new JobSubmission(JobId.of(resolved.jobIdText()), submit.payload(), submit.steps(), submit.schedule());
        JobCommand.Accept accept =
                new JobCommand.Accept(submission, resolved.jobClass().terms(), epochMillis.getAsLong());
        synchronized (table) {
            if (table.find(submission.id()).isPresent()) {
                logAccepted(submission.id(), resolved, JobOutcome.REPEATED);
                return CompletableFuture.completedFuture(new JobAnswer.Accepted());
            }
        }
        return propose(accept).thenApply(outcome -> {
            logAccepted(submission.id(), resolved, outcome);
            return new JobAnswer.Accepted();
        });
    }

    private static void logAccepted(JobId job, ResolvedTarget resolved, JobOutcome outcome) {
        Event.of("job-accepted")
                .with("job", job)
                .with("class", resolved.jobClass().name())
                .with("classesVersion", resolved.version())
                .with("outcome", outcome)
                .write();
    }

    private CompletableFuture<JobAnswer> read(ResolvedTarget resolved) {
        synchronized (table) {
            if (resolved.jobIdText().isEmpty()) {
                int queued = table.queued(resolved.jobClass().name());
                return CompletableFuture.completedFuture(new JobAnswer.Queued(queued));
            }
            Optional<JobRecord> job = table.find(JobId.of(resolved.jobIdText()));
            JobAnswer answer = job.<JobAnswer>map(known -> new JobAnswer.Known(known.visibleState()))
                    .orElseGet(JobAnswer.Absent::new);
            return CompletableFuture.completedFuture(answer);
        }
    }

    private CompletableFuture<JobAnswer> cancel(ResolvedTarget resolved) {
        JobId id = JobId.of(resolved.jobIdText());
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
                    .<JobAnswer>map(job -> new JobAnswer.Known(job.visibleState()))
                    .orElseGet(JobAnswer.Absent::new);
        }
    }

    private CompletableFuture<JobOutcome> propose(JobCommand command) {
        return sharedState
                .propose(SectionId.JOBS, JobCodec.pack(command), Deadline.after(COMMIT_TIMEOUT, ticker))
                .thenApply(JobCodec::unpackOutcome);
    }

    /**
     * Holds the class and the job that a target names.
     *
     * @param jobClass the class
     * @param jobIdText the rest of the path, a job's id; empty if the target is the class as a whole
     * @param version the version of the job classes in force
     */
    private record ResolvedTarget(JobClass jobClass, String jobIdText, long version) {}
}
