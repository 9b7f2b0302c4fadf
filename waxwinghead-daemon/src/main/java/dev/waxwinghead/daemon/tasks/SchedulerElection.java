package dev.waxwinghead.daemon.tasks;

import dev.waxwinghead.daemon.part.DaemonContext;
import dev.waxwinghead.scheduling.task.SchedulerTerm;
import dev.waxwinghead.scheduling.task.TaskTable;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** Decides when this host tries to become its data centre's scheduler, and when it renews the role. */
final class SchedulerElection {
    private static final long RENEWAL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);
    private static final long JITTER_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final DaemonContext context;
    private final TaskTable table;
    private SchedulerTerm seen;
    private long changedNanos;
    private long jitterNanos;
    private long triedNanos;
    private long renewedNanos;

    SchedulerElection(DaemonContext context, TaskTable table) {
        this.context = context;
        this.table = table;
        this.changedNanos = context.ticker().nanos();
        this.triedNanos = changedNanos - RETRY_NANOS;
        this.renewedNanos = changedNanos;
    }

    /** Takes note of who acts now. */
    void observe(long now) {
        SchedulerTerm latest = table.scheduler(context.dataCentre()).orElse(null);
        if (latest != null && !latest.equals(seen)) {
            seen = latest;
            changedNanos = now;
            jitterNanos = ThreadLocalRandom.current().nextLong(JITTER_NANOS);
        }
    }

    /** Tells whether to try for the role now. */
    boolean due(long now, boolean fenceOwnTerm) {
        if (now - triedNanos < RETRY_NANOS || !context.sharedState().status().majorityInReach()) {
            return false;
        }
        boolean due = fenceOwnTerm || vacant(now) || now - changedNanos >= SILENCE_NANOS + jitterNanos;
        if (due) {
            triedNanos = now;
        }
        return due;
    }

    long expectedTerm() {
        return seen == null ? 0 : seen.term();
    }

    /** Tells whether the role is to be renewed now. */
    boolean renewalDue(long now) {
        boolean due = now - renewedNanos >= RENEWAL_INTERVAL_NANOS;
        if (due) {
            renewedNanos = now;
        }
        return due;
    }

    private boolean vacant(long now) {
        if (seen == null || seen.host() == null) {
            return now - changedNanos >= jitterNanos;
        }
        return seen.host().equals(context.self());
    }
}
