package dev.waxwinghead.daemon.jobs;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.daemon.codec.MessagePackCodec;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.JobClassName;
import dev.waxwinghead.model.id.JobId;
import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.resource.Resources;
import dev.waxwinghead.scheduling.job.CheckpointRecency;
import dev.waxwinghead.scheduling.job.JobCommand;
import dev.waxwinghead.scheduling.job.JobOutcome;
import dev.waxwinghead.scheduling.job.JobRecord;
import dev.waxwinghead.scheduling.job.JobSchedule;
import dev.waxwinghead.scheduling.job.JobState;
import dev.waxwinghead.scheduling.job.JobStep;
import dev.waxwinghead.scheduling.job.JobSubmission;
import dev.waxwinghead.scheduling.job.JobTerms;
import dev.waxwinghead.scheduling.job.JobTransition;
import dev.waxwinghead.scheduling.job.RunEnd;
import dev.waxwinghead.scheduling.job.RunKey;
import dev.waxwinghead.scheduling.job.StepRecord;
import dev.waxwinghead.scheduling.job.TaskKey;
import dev.waxwinghead.scheduling.job.WorkerIncarnation;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class JobSectionTests {
    private static final WorkerIncarnation WORKER = new WorkerIncarnation(WorkerId.of("w1"), 17);
    private static final JobId JOB = JobId.of("5c0e7a21d94b36f8");

    private static final int CRASHES_BYTES = 1;
    private static final int GANGS_BYTES = 23;
    private static final int NOT_BEGUN_BYTES = 1;
    private static final int DRAINED_BYTES = 1;
    private static final int DRAIN_COMMANDS_BYTES = 1;
    private static final int SILENCES_BYTES = 1;

    /** A gang of four whose members run, in a snapshot without the list of gangs. */
    private static final String EARLIER_RUNNING =
            "AZCRsDVjMGU3YTIxZDk0YjM2ZjihcJEEAQIDBJADoKAAoAAAAQAAoWOhcwECyz/4AAAAAAAA"
                    + "A80E0gKUsDVjMGU3YTIxZDk0YjM2ZjgAAAABAMKgkQGidzERsDVjMGU3YTIxZDk0YjM2ZjgAAAEBAMKgkQGidzERsDVjMGU3YTIxZDk0"
                    + "YjM2ZjgAAAIBAMKgkQGidzERsDVjMGU3YTIxZDk0YjM2ZjgAAAMBAMKgkQGidzERkA==";

    /** The ends of the gang, three with w5500 and one with w2500, in a command without ranks. */
    private static final String EARLIER_ENDS =
            "BAGUArA1YzBlN2EyMWQ5NGIzNmY4AAAAAQOldzU1MDACsDVjMGU3YTIxZDk0YjM2ZjgAAAEB"
                    + "A6V3NTUwMAKwNWMwZTdhMjFkOTRiMzZmOAAAAgEDpXc1NTAwArA1YzBlN2EyMWQ5NGIzNmY4AAADAQWldzI1MDA=";

    /** The gang after these ends, in a snapshot without the list of gangs. */
    private static final String EARLIER_ENDED =
            "AZCRsDVjMGU3YTIxZDk0YjM2ZjihcJEEAQIDBJADoKAAoAAAAQAAoWOhcwECyz/4AAAAAAAAA8"
                    + "0E0gKUsDVjMGU3YTIxZDk0YjM2ZjgAAAABAMKldzU1MDCQsDVjMGU3YTIxZDk0YjM2ZjgAAAEBAMKldzU1MDCQsDVjMGU3YTIxZDk0"
                    + "YjM2ZjgAAAIBAMKldzU1MDCQsDVjMGU3YTIxZDk0YjM2ZjgAAAMBAMKldzI1MDCQkA==";

    /** The same, but the first member has completed: its flag is 0xc3 instead of 0xc2. */
    private static final String EARLIER_PARTLY_COMPLETED = EARLIER_ENDED.replaceFirst("AMKl", "AMOl");

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
    void restoresASnapshotWithoutTheListsOfLaterVersions() {
        fill();
        byte[] snapshot = section.snapshot();
        byte[] earlier = Arrays.copyOf(
                snapshot,
                snapshot.length
                        - CRASHES_BYTES
                        - GANGS_BYTES
                        - NOT_BEGUN_BYTES
                        - DRAINED_BYTES
                        - DRAIN_COMMANDS_BYTES
                        - SILENCES_BYTES);
        JobSection restored = new JobSection();
        restored.restore(earlier);
        assertThat(restored.snapshot()).hasLength(snapshot.length + "saved".length());
        assertThat(Arrays.copyOf(restored.snapshot(), earlier.length)).isEqualTo(earlier);
        assertThat(crashes(restored)).isEqualTo(0);
    }

    /** Guards against a lease that no scheduler waits for, since a snapshot has lost that its worker is silent. */
    @Test
    void restoresWhichWorkersAreSilent() {
        fill();
        WorkerIncarnation worker = section.table().busyWorkers().iterator().next();
        apply(new JobCommand.Advance(section.table().epoch(), List.of(new JobTransition.Silent(worker))));
        JobSection restored = new JobSection();
        restored.restore(section.snapshot());
        assertThat(restored.table().silences().keySet()).containsExactly(worker);
        assertThat(restored.snapshot()).isEqualTo(section.snapshot());
        apply(new JobCommand.Advance(section.table().epoch(), List.of(new JobTransition.Returned(worker))));
        assertThat(section.table().silences()).isEmpty();
    }

    /** Guards against a count of queued jobs that leaves out those that no worker has started. */
    @Test
    void restoresWhetherAJobHasBegun() {
        JobStep step = new JobStep(
                1, Resources.of(1, 2, 3), 4, List.of(), false, false, false, "", "", 0, false, false, "", 0, false, 0);
        JobTerms terms = new JobTerms(JobClassName.of("c"), ServiceName.of("s"), 1, 2, 1.5, 3);
        for (String id : List.of("begun", "assigned")) {
            JobSubmission submission = new JobSubmission(JobId.of(id), "", List.of(step), JobSchedule.ONCE);
            apply(new JobCommand.Accept(submission, terms, 0));
            RunKey run = new RunKey(new TaskKey(JobId.of(id), 0, 0, 0), 1);
            apply(new JobCommand.Advance(0, List.of(new JobTransition.Started(run, WORKER))));
        }
        apply(new JobCommand.Advance(0, List.of(new JobTransition.Begun(JobId.of("begun")))));
        JobSection restored = new JobSection();
        restored.restore(section.snapshot());
        assertThat(restored.snapshot()).isEqualTo(section.snapshot());
        assertThat(restored.table().queued(JobClassName.of("c"))).isEqualTo(1);
        assertThat(restored.table().find(JobId.of("assigned")).orElseThrow().visibleState())
                .isEqualTo(JobState.QUEUED);
    }

    /** Guards against a drain that is forgotten with the part of the log that a snapshot replaces. */
    @Nested
    class DrainedDataCentres {
        private static final DataCentreId A = DataCentreId.of("dc-a");
        private static final DataCentreId B = DataCentreId.of("dc-b");

        @Test
        void areRestoredFromASnapshot() {
            fill();
            apply(new JobCommand.Drain(B));
            apply(new JobCommand.Drain(A));
            JobSection restored = new JobSection();
            restored.restore(section.snapshot());
            assertThat(restored.table().drainedDataCentres()).containsExactly(A, B);
            assertThat(restored.snapshot()).isEqualTo(section.snapshot());
        }

        /** Guards against replicas whose snapshots differ because the drains were applied in another order. */
        @Test
        void haveASnapshotThatDoesNotDependOnTheOrderOfTheDrains() {
            JobSection other = new JobSection();
            applyAll(section, new JobCommand.Drain(A), new JobCommand.Drain(B));
            applyAll(other, new JobCommand.Drain(B), new JobCommand.Drain(A));
            for (JobSection each : List.of(section, other)) {
                each.apply(3, JobCodec.pack(new JobCommand.Drain(A)));
                each.apply(4, JobCodec.pack(new JobCommand.Drain(B)));
            }
            assertThat(other.snapshot()).isEqualTo(section.snapshot());
        }

        private void applyAll(JobSection target, JobCommand first, JobCommand second) {
            target.apply(1, JobCodec.pack(first));
            target.apply(2, JobCodec.pack(second));
        }

        /** Guards against a late order that a replica takes for a new one since it was restored from a snapshot. */
        @Test
        void areNotChangedByALateOrderAfterASnapshot() {
            assertThat(outcome(new JobCommand.Drain(A, 0))).isEqualTo(JobOutcome.APPLIED);
            assertThat(outcome(new JobCommand.Undrain(A, index))).isEqualTo(JobOutcome.APPLIED);
            byte[] snapshot = section.snapshot();
            section.restore(snapshot);
            assertThat(section.snapshot()).isEqualTo(snapshot);
            assertThat(section.table().latestDrainCommand(A)).isEqualTo(index);
            assertThat(outcome(new JobCommand.Drain(A, 0))).isEqualTo(JobOutcome.SUPERSEDED);
            assertThat(section.table().drainedDataCentres()).isEmpty();
        }

        @Test
        void areChangedByAnOrderAfterASnapshotWithoutTheLatestOnes() {
            assertThat(outcome(new JobCommand.Undrain(A, 0))).isEqualTo(JobOutcome.REPEATED);
            long latest = index;
            JobSection empty = new JobSection();
            byte[] earlier = empty.snapshot();
            section.restore(Arrays.copyOf(earlier, earlier.length - DRAIN_COMMANDS_BYTES - SILENCES_BYTES));
            assertThat(outcome(new JobCommand.Drain(A, latest))).isEqualTo(JobOutcome.APPLIED);
        }

        /** Guards against commands that hosts of different versions read differently. */
        @Test
        void areChangedByCommandsOfEarlierVersions() {
            byte[] drain = MessagePackCodec.pack(packer -> packer.packInt(5).packString("dc-a"));
            byte[] undrain = MessagePackCodec.pack(packer -> packer.packInt(6).packString("dc-a"));
            assertThat(JobCodec.unpack(drain)).isEqualTo(new JobCommand.Drain(A));
            assertThat(JobCodec.pack(new JobCommand.Drain(A))).isEqualTo(drain);
            assertThat(outcome(new JobCommand.Drain(A, 0))).isEqualTo(JobOutcome.APPLIED);
            assertThat(JobCodec.unpackOutcome(section.apply(++index, undrain))).isEqualTo(JobOutcome.APPLIED);
            assertThat(JobCodec.unpackOutcome(section.apply(++index, drain))).isEqualTo(JobOutcome.APPLIED);
        }

        @Test
        void areNoneInASnapshotOfAnEarlierVersion() {
            fill();
            byte[] snapshot = section.snapshot();
            apply(new JobCommand.Drain(A));
            section.restore(
                    Arrays.copyOf(snapshot, snapshot.length - DRAINED_BYTES - DRAIN_COMMANDS_BYTES - SILENCES_BYTES));
            assertThat(section.table().drainedDataCentres()).isEmpty();
            assertThat(section.snapshot()).isEqualTo(snapshot);
        }

        @Test
        void areChangedByRepeatedCommandsOnce() {
            assertThat(outcome(new JobCommand.Undrain(A))).isEqualTo(JobOutcome.REPEATED);
            assertThat(outcome(new JobCommand.Drain(A))).isEqualTo(JobOutcome.APPLIED);
            assertThat(outcome(new JobCommand.Drain(A))).isEqualTo(JobOutcome.REPEATED);
            assertThat(section.table().drainedDataCentres()).containsExactly(A);
            assertThat(outcome(new JobCommand.Undrain(A))).isEqualTo(JobOutcome.APPLIED);
            assertThat(section.table().drainedDataCentres()).isEmpty();
        }

        private JobOutcome outcome(JobCommand command) {
            return JobCodec.unpackOutcome(section.apply(++index, JobCodec.pack(command)));
        }
    }

    /** Guards against members of a gang that are started from different checkpoints. */
    @Nested
    class Gangs {
        @Test
        void keepTheCheckpointOfTheirAttemptInASnapshot() {
            section.restore(bytes(EARLIER_RUNNING));
            end(0, "w5800", CheckpointRecency.AT_STOP);
            JobSection restored = new JobSection();
            restored.restore(section.snapshot());
            assertThat(restored.snapshot()).isEqualTo(section.snapshot());
            assertThat(starts(restored)).containsExactly("");
        }

        @Test
        void keepTheRankOfTheirLatestCheckpointInASnapshot() {
            section.restore(bytes(EARLIER_RUNNING));
            end(0, "w5800", CheckpointRecency.AT_STOP);
            section.restore(section.snapshot());
            end(1, "w5500", CheckpointRecency.AT_END);
            end(2, "w2500", CheckpointRecency.whileRunning(30));
            end(3, "w5500", CheckpointRecency.AT_END);
            assertThat(nextStarts()).containsExactly("w5800");
        }

        @Test
        void resumeFromOneCheckpointAfterASnapshotOfAnEarlierVersion() {
            section.restore(bytes(EARLIER_ENDED));
            assertThat(nextStarts()).containsExactly("w5500");
        }

        @Test
        void resumeFromOneCheckpointAfterTheLogOfAnEarlierVersion() {
            section.restore(bytes(EARLIER_RUNNING));
            section.apply(++index, bytes(EARLIER_ENDS));
            assertThat(nextStarts()).hasSize(1);
        }

        /** Guards against a completed gang that starts again since a member was lost before it reported the end. */
        @Test
        void completeAfterASnapshotThatFollowsTheLossOfAMember() {
            section.restore(bytes(EARLIER_RUNNING));
            end(0, "", CheckpointRecency.UNKNOWN);
            JobSection restored = new JobSection();
            restored.restore(section.snapshot());
            byte[] end = JobCodec.pack(new JobCommand.Advance(
                    section.table().epoch(), List.of(new JobTransition.Ended(run(1), RunEnd.COMPLETED, ""))));
            assertThat(restored.apply(100, end)).isEqualTo(section.apply(100, end));
            assertThat(restored.snapshot()).isEqualTo(section.snapshot());
            assertThat(restored.table().find(JOB).orElseThrow().state()).isEqualTo(JobState.DONE);
        }

        @Test
        void areCompletedIfAnEarlierVersionHasCompletedSomeMembers() {
            section.restore(bytes(EARLIER_PARTLY_COMPLETED));
            JobRecord job = section.table().find(JOB).orElseThrow();
            assertThat(job.step(run(0).task()).completed()).isTrue();
            assertThat(job.state()).isEqualTo(JobState.DONE);
            assertThat(section.table().active()).isEmpty();
        }

        @Test
        void writeEndsWithoutRanksLikeAnEarlierVersion() {
            assertThat(JobCodec.pack(JobCodec.unpack(bytes(EARLIER_ENDS)))).isEqualTo(bytes(EARLIER_ENDS));
        }

        private void end(int task, String checkpoint, int recency) {
            advance(new JobTransition.Ended(run(task), RunEnd.INTERRUPTED, checkpoint, recency));
        }

        private Set<String> nextStarts() {
            for (int task = 0; task < 4; task++) {
                advance(new JobTransition.Started(new RunKey(run(task).task(), 2), WORKER));
            }
            assertThat(section.table().runsOn(WORKER)).hasSize(4);
            return starts(section);
        }

        private void advance(JobTransition transition) {
            apply(new JobCommand.Advance(section.table().epoch(), List.of(transition)));
        }

        private static Set<String> starts(JobSection section) {
            JobRecord job = section.table().find(JOB).orElseThrow();
            StepRecord step = job.step(run(0).task());
            return step.tasks().stream().map(step::startCheckpoint).collect(Collectors.toSet());
        }

        private static byte[] bytes(String base64) {
            return Base64.getDecoder().decode(base64);
        }
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
