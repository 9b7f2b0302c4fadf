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
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** Answers calls about jobs on the host that acts as the scheduler. */
final class JobService {
    /** The time limit for a commit; callers give up sooner and retry. */
    private static final Duration COMMIT_TIMEOUT = Duration.ofSeconds(3);

    private final SharedState sharedState;
    private final JobClassSection classes;
    private final JobTable table;
    private final Supplier<OptionalLong> actingEpoch;
    private final Supplier<Optional<HostId>> leader;
    private final Ticker ticker;
    private final LongSupplier epochMillis;

    /** The submissions of this host that are proposed and not yet applied. */
    private final Map<JobId, CompletableFuture<JobAnswer>> openSubmissions = new ConcurrentHashMap<>();

    /**
     * The latest epoch in which the outcome of a proposal is not known, 0 if none. The proposal may still be committed
     * in that epoch, so that a refusal in the same epoch rules nothing out.
     */
    private final AtomicLong unresolvedEpoch = new AtomicLong();

    JobService(
            SharedState sharedState,
            JobClassSection classes,
            JobTable table,
            Supplier<OptionalLong> actingEpoch,
            Supplier<Optional<HostId>> leader,
            Ticker ticker,
            LongSupplier epochMillis) {
        this.sharedState = sharedState;
        this.classes = classes;
        this.table = table;
        this.actingEpoch = actingEpoch;
        this.leader = leader;
        this.ticker = ticker;
        this.epochMillis = epochMillis;
    }

    /**
     * Answers an attempt of a call. Fails with the kind of the error if the call itself is invalid.
     *
     * <p>An attempt that changes state takes effect only in its own epoch. If the scheduler of that epoch refuses the
     * call, no earlier attempt can take effect: those of earlier epochs are in the table by now or are rejected by it,
     * and those of the same epoch came from the same entry host to this host, which handles them in order.
     */
    CompletableFuture<JobAnswer> answer(JobAttempt attempt) {
        JobCall call = attempt.call();
        OptionalLong acting = actingEpoch.get();
        if (acting.isEmpty()) {
            return CompletableFuture.completedFuture(new JobAnswer.NotActing(leader.get()));
        }
        long epoch = acting.getAsLong();
        if (call.changes() && attempt.epoch().isPresent() && attempt.epoch().getAsLong() != epoch) {
            return CompletableFuture.completedFuture(new JobAnswer.OtherEpoch(epoch));
        }
        try {
            ResolvedTarget resolved = resolve(call.target());
            if (call instanceof JobCall.Submit submit) {
                return refusable(attempt, epoch, () -> submit(submit, resolved, epoch));
            }
            return call instanceof JobCall.Read
                    ? read(resolved)
                    : refusable(attempt, epoch, () -> cancel(resolved, epoch));
        } catch (WaxwingheadException e) {
            logRefused(call, e);
            return CompletableFuture.failedFuture(e);
        }
    }

    /** Runs a change. A failure that rules out every effect of the call is returned as a refusal. */
    private CompletableFuture<JobAnswer> refusable(
            JobAttempt attempt, long epoch, Supplier<CompletableFuture<JobAnswer>> change) {
        CompletableFuture<JobAnswer> answer;
        try {
            answer = change.get();
        } catch (WaxwingheadException e) {
            logRefused(attempt.call(), e);
            answer = CompletableFuture.failedFuture(e);
        }
        return answer.exceptionallyCompose(failure -> refusal(attempt, epoch, WaxwingheadException.from(failure)));
    }

    private CompletableFuture<JobAnswer> refusal(JobAttempt attempt, long epoch, WaxwingheadException failure) {
        // An entry host of an earlier version sends no epoch and can't read a refusal.
        if (mayHaveRun(failure) || attempt.epoch().isEmpty() || unresolvedEpoch.get() == epoch) {
            return CompletableFuture.failedFuture(failure);
        }
        boolean replaced =
                failure.kind() == ErrorKind.NO_MAJORITY && !actingEpoch.get().equals(OptionalLong.of(epoch));
        if (replaced) {
            return CompletableFuture.completedFuture(new JobAnswer.NotActing(leader.get()));
        }
        return CompletableFuture.completedFuture(
                new JobAnswer.Refused(failure.kind(), failure.reason(), failure.remedy()));
    }

    private static boolean mayHaveRun(WaxwingheadException failure) {
        return failure.kind() == ErrorKind.UNKNOWN_OUTCOME || failure.kind() == ErrorKind.INTERNAL;
    }

    private static void logRefused(JobCall call, WaxwingheadException failure) {
        Event.of("job-call-refused")
                .with("path", call.target().path())
                .with("kind", failure.kind())
                .with("message", failure.getMessage())
                .write();
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

    private CompletableFuture<JobAnswer> submit(JobCall.Submit submit, ResolvedTarget resolved, long epoch) {
        JobSubmission submission =
                new JobSubmission(JobId.of(resolved.jobIdText()), submit.payload(), submit.steps(), submit.schedule());
        JobId id = submission.id();
        // A proposal leaves the open ones only after the table has applied it, so the table is searched second.
        CompletableFuture<JobAnswer> earlier = openSubmissions.get(id);
        if (earlier != null) {
            return earlier.copy();
        }
        synchronized (table) {
            if (table.find(id).isPresent()) {
                logAccepted(id, resolved, JobOutcome.REPEATED);
                return CompletableFuture.completedFuture(new JobAnswer.Accepted());
            }
        }
        JobCommand.Accept accept =
                new JobCommand.Accept(submission, resolved.jobClass().terms(), epochMillis.getAsLong());
        CompletableFuture<JobAnswer> answer = new CompletableFuture<>();
        openSubmissions.put(id, answer);
        CompletableFuture<JobOutcome> unused = propose(accept, epoch).whenComplete((outcome, failure) -> {
            openSubmissions.remove(id, answer);
            if (failure != null) {
                answer.completeExceptionally(failure);
            } else if (outcome == JobOutcome.STALE_EPOCH) {
                answer.complete(new JobAnswer.NotActing(leader.get()));
            } else {
                logAccepted(id, resolved, outcome);
                answer.complete(new JobAnswer.Accepted());
            }
        });
        return answer.copy();
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

    private CompletableFuture<JobAnswer> cancel(ResolvedTarget resolved, long epoch) {
        JobId id = JobId.of(resolved.jobIdText());
        return propose(new JobCommand.Cancel(id), epoch).thenApply(outcome -> {
            Event.of("job-canceled").with("job", id).with("outcome", outcome).write();
            return outcome == JobOutcome.STALE_EPOCH ? new JobAnswer.NotActing(leader.get()) : canceled(id, outcome);
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

    /** Proposes a command that takes effect in an epoch only. */
    private CompletableFuture<JobOutcome> propose(JobCommand command, long epoch) {
        byte[] guarded = JobCodec.pack(new JobCommand.InEpoch(epoch, command));
        return sharedState
                .propose(SectionId.JOBS, guarded, Deadline.after(COMMIT_TIMEOUT, ticker))
                .thenApply(JobCodec::unpackOutcome)
                .whenComplete((outcome, failure) -> {
                    if (failure != null && mayHaveRun(WaxwingheadException.from(failure))) {
                        // A proposal of an earlier epoch may fail late.
                        unresolvedEpoch.accumulateAndGet(epoch, Math::max);
                    }
                });
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
