package dev.waxwinghead.daemon.jobs;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.JobClassName;
import dev.waxwinghead.model.id.JobId;
import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.resource.Resources;
import dev.waxwinghead.scheduling.job.JobCommand;
import dev.waxwinghead.scheduling.job.JobRecord;
import dev.waxwinghead.scheduling.job.JobSchedule;
import dev.waxwinghead.scheduling.job.JobStep;
import dev.waxwinghead.scheduling.job.JobSubmission;
import dev.waxwinghead.scheduling.job.JobTerms;
import dev.waxwinghead.scheduling.job.JobTransition;
import dev.waxwinghead.scheduling.job.RunEnd;
import dev.waxwinghead.scheduling.job.RunKey;
import dev.waxwinghead.scheduling.job.TaskKey;
import dev.waxwinghead.scheduling.job.WorkerIncarnation;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class JobSectionTests {
    private static final WorkerIncarnation WORKER = new WorkerIncarnation(WorkerId.of("w1"), 17);
    private static final JobId JOB = JobId.of("5c0e7a21d94b36f8");

    private static final int EMPTY_LIST_BYTES = 1;

    private final JobSection section = new JobSection();
    private long index;

    @Test
    void restoresTheContentsOfASnapshot() {
        fill();
        JobSection restored = new JobSection();
        restored.restore(section.snapshot());
        assertThat(restored.snapshot()).isEqualTo(section.snapshot());
        assertThat(restored.table().epoch()).isEqualTo(section.table().epoch());
        assertThat(restored.table().runsOn(WORKER)).isEqualTo(section.table().runsOn(WORKER));
        assertThat(restored.table().canceledBeforeArrival()).containsExactly(JobId.of("unknown"));
    }

    @Test
    void restoresEveryFieldOfASubmission() {
        fill();
        JobSection restored = new JobSection();
        restored.restore(section.snapshot());
        JobRecord before = section.table().find(JOB).orElseThrow();
        JobRecord after = restored.table().find(JOB).orElseThrow();
        assertThat(after.submission()).isEqualTo(before.submission());
        assertThat(after.terms()).isEqualTo(before.terms());
        assertThat(after.state()).isEqualTo(before.state());
    }

    @Test
    void appliesCommandsAfterARestoreAsTheOriginalDoes() {
        fill();
        JobSection restored = new JobSection();
        restored.restore(section.snapshot());
        byte[] end = JobCodec.pack(new JobCommand.Advance(
                section.table().epoch(), List.of(new JobTransition.Ended(run(1), RunEnd.COMPLETED, ""))));
        assertThat(restored.apply(100, end)).isEqualTo(section.apply(100, end));
        assertThat(restored.snapshot()).isEqualTo(section.snapshot());
    }

    @Test
    void restoresHowManyWorkersCrashedUnderATask() {
        fill();
        apply(new JobCommand.Advance(
                section.table().epoch(), List.of(new JobTransition.Ended(run(1), RunEnd.WORKER_CRASHED, ""))));
        JobSection restored = new JobSection();
        restored.restore(section.snapshot());
        assertThat(crashes(restored)).isEqualTo(1);
        assertThat(restored.snapshot()).isEqualTo(section.snapshot());
    }

    @Test
    void restoresASnapshotWithoutTheListOfCrashes() {
        fill();
        byte[] snapshot = section.snapshot();
        JobSection restored = new JobSection();
        restored.restore(Arrays.copyOf(snapshot, snapshot.length - EMPTY_LIST_BYTES));
        assertThat(restored.snapshot()).isEqualTo(snapshot);
        assertThat(crashes(restored)).isEqualTo(0);
    }

    private static int crashes(JobSection section) {
        return section.table().find(JOB).orElseThrow().task(run(1).task()).crashes();
    }

    private void fill() {
        JobStep step = new JobStep(
                3,
                Resources.of(1, 2, 3),
                4,
                List.of(),
                true,
                true,
                true,
                "label",
                "rack",
                5,
                true,
                true,
                "image",
                6,
                true,
                7);
        JobStep next = new JobStep(
                1, Resources.of(1, 2, 3), 4, List.of(0), false, false, false, "", "", 0, false, false, "", 0, false, 0);
        apply(new JobCommand.Acquire(HostId.of("10.0.0.1")));
        apply(new JobCommand.Accept(
                new JobSubmission(JOB, "payload", List.of(step, next), new JobSchedule(2, 0, 9)),
                new JobTerms(JobClassName.of("c"), ServiceName.of("s"), 1, 2, 1.5, 3),
                1234));
        apply(new JobCommand.Cancel(JobId.of("unknown")));
        apply(new JobCommand.Advance(
                section.table().epoch(),
                List.of(
                        new JobTransition.Started(run(0), WORKER),
                        new JobTransition.Started(run(1), WORKER),
                        new JobTransition.Ended(run(0), RunEnd.FAILED, "saved"))));
    }

    private static RunKey run(int task) {
        return new RunKey(new TaskKey(JOB, 0, 0, task), 1);
    }

    private void apply(JobCommand command) {
        section.apply(++index, JobCodec.pack(command));
    }
}
