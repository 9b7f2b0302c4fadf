package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.JobId;
import java.util.ArrayList;
import java.util.List;

/** Holds the contents of a {@link JobTable} and restores them as a host does with a snapshot. */
final class TableSnapshot {
    private final long epoch;
    private final List<JobId> canceled;
    private final List<DataCentreId> drained;
    private final List<WorkerIncarnation> silent;
    private final List<Job> jobs = new ArrayList<>();

    private TableSnapshot(JobTable table) {
        this.epoch = table.epoch();
        this.canceled = List.copyOf(table.canceledBeforeArrival());
        this.drained = List.copyOf(table.drainedDataCentres());
        this.silent = List.copyOf(table.silences().keySet());
        table.all().forEach(job -> jobs.add(new Job(job)));
    }

    static TableSnapshot of(JobTable table) {
        return new TableSnapshot(table);
    }

    void restore(JobTable table) {
        table.clear();
        table.restore(epoch, canceled);
        drained.forEach(table::restoreDrained);
        for (Job job : jobs) {
            table.restore(job.accept, job.state, job.tasks);
            job.crashes.forEach(crashed -> table.restoreCrashes(crashed.task(), crashed.crashes()));
            job.gangs.forEach(gang -> table.restoreGangAttempt(gang.member(), gang.checkpoint(), gang.recency()));
        }
        silent.forEach(table::restoreSilence);
    }

    private record Crashes(TaskKey task, int crashes) {}

    private record GangAttempt(TaskKey member, String checkpoint, int recency) {}

    private static final class Job {
        private final JobCommand.Accept accept;
        private final JobState state;
        private final List<JobTable.RestoredTask> tasks = new ArrayList<>();
        private final List<Crashes> crashes = new ArrayList<>();
        private final List<GangAttempt> gangs = new ArrayList<>();

        Job(JobRecord job) {
            this.accept = new JobCommand.Accept(job.submission(), job.terms(), job.acceptedEpochMillis());
            this.state = job.state();
            for (int occurrence = 0; occurrence < job.occurrences().size(); occurrence++) {
                for (int position = 0; position < job.submission().steps().size(); position++) {
                    add(job, occurrence, position);
                }
            }
        }

        private void add(JobRecord job, int occurrence, int position) {
            StepRecord step = job.occurrences().get(occurrence).get(position);
            for (int index = 0; index < step.tasks().size(); index++) {
                add(
                        step,
                        new TaskKey(job.id(), occurrence, position, index),
                        step.tasks().get(index));
            }
            if (step.step().gang() && step.liveRuns() > 0) {
                TaskKey member = new TaskKey(job.id(), occurrence, position, 0);
                gangs.add(new GangAttempt(member, step.startCheckpoint(job.task(member)), step.checkpointRecency()));
            }
        }

        private void add(StepRecord step, TaskKey key, TaskRecord task) {
            if (task.attempts() == 0 && !task.completed()) {
                return;
            }
            tasks.add(new JobTable.RestoredTask(
                    key,
                    task.attempts(),
                    task.failures(),
                    task.completed(),
                    step.checkpoint(task),
                    List.copyOf(task.liveRuns())));
            if (task.suspect()) {
                crashes.add(new Crashes(key, task.crashes()));
            }
        }
    }
}
