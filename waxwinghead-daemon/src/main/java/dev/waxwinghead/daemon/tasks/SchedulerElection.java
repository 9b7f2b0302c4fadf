package dev.waxwinghead.daemon.tasks;

import dev.waxwinghead.daemon.part.DaemonContext;
import dev.waxwinghead.scheduling.task.SchedulerTerm;
import dev.waxwinghead.scheduling.task.TaskTable;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** Decides when this host tries to acquire the scheduler term of its data centre, and when to renew the term. */
final class SchedulerElection {
    private static final long RENEWAL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long SILENCE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);
    private static final long MAX_JITTER_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    private static final long RETRY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final DaemonContext context;
    private final TaskTable table;
    private SchedulerTerm observedTerm;
    private long lastChangeNanos;
    private long jitterNanos;
    private long lastAttemptNanos;
    private long lastRenewalNanos;

    SchedulerElection(DaemonContext context, TaskTable table) {
        this.context = context;
        this.table = table;
        this.lastChangeNanos = context.ticker().nanos();
        this.lastAttemptNanos = lastChangeNanos - RETRY_INTERVAL_NANOS;
        this.lastRenewalNanos = lastChangeNanos;
    }

    /** Records the current scheduler term, and when this host observed its last change. */
    void observe(long now) {
        SchedulerTerm latest = table.scheduler(context.dataCentre()).orElse(null);
        if (latest != null && !latest.equals(observedTerm)) {
            observedTerm = latest;
            lastChangeNanos = now;
            jitterNanos = ThreadLocalRandom.current().nextLong(MAX_JITTER_NANOS);
        }
    }

    /**
     * Returns whether to try to acquire the term now, and records the time of the attempt if so.
     *
     * @param now the time, in nanoseconds of the monotonic clock
     * @param fenceOwnTerm whether to acquire a new term although this host holds one
     */
    boolean acquisitionDue(long now, boolean fenceOwnTerm) {
        if (now - lastAttemptNanos < RETRY_INTERVAL_NANOS
                || !context.sharedState().status().majorityInReach()) {
            return false;
        }
        boolean due = fenceOwnTerm || vacant(now) || now - lastChangeNanos >= SILENCE_TIMEOUT_NANOS + jitterNanos;
        if (due) {
            lastAttemptNanos = now;
        }
        return due;
    }

    long expectedTerm() {
        return observedTerm == null ? 0 : observedTerm.term();
    }

    /** Returns whether to renew the term now, and records the time of the renewal if so. */
    boolean renewalDue(long now) {
        boolean due = now - lastRenewalNanos >= RENEWAL_INTERVAL_NANOS;
        if (due) {
            lastRenewalNanos = now;
        }
        return due;
    }

    private boolean vacant(long now) {
        if (observedTerm == null || observedTerm.host() == null) {
            return now - lastChangeNanos >= jitterNanos;
        }
        return observedTerm.host().equals(context.self());
    }
}
