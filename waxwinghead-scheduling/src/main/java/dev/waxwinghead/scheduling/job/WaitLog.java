package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.JobId;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Reports for which reason jobs wait, at most once a second for each job and only when the reason has changed. */
final class WaitLog {
    private static final long MIN_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final SchedulerListener events;
    private final Map<JobId, Entry> entries = new HashMap<>();

    WaitLog(SchedulerListener events) {
        this.events = events;
    }

    /**
     * Records that the tasks of a job's step wait. The first record of a wait is not reported, as most are short.
     *
     * @param job the job
     * @param step the step's position
     * @param reason returns the reason; not called if it would not be reported
     * @param closest returns the free capacity of the worker that lacks least; called only for a report
     * @param now the current time, in nanoseconds
     */
    void waiting(
            JobRecord job, int step, Supplier<WaitReason> reason, Supplier<Optional<FreeCapacity>> closest, long now) {
        Entry known = entries.get(job.id());
        if (known == null) {
            entries.put(job.id(), new Entry(null, now));
            return;
        }
        if (now - known.reportedNanos < MIN_INTERVAL_NANOS) {
            return;
        }
        WaitReason current = reason.get();
        if (known.reason != current) {
            entries.put(job.id(), new Entry(current, now));
            events.waiting(job, step, current, closest.get());
        }
    }

    void forget(JobId job) {
        entries.remove(job);
    }

    /** The latest reported reason, null before the first, and when it was reported. */
    private record Entry(WaitReason reason, long reportedNanos) {}
}
