package dev.waxwinghead.daemon.tasks;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.model.id.ChangeId;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.JobName;
import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.manifest.Manifest;
import dev.waxwinghead.model.manifest.Manifests;
import dev.waxwinghead.model.resource.Resources;
import dev.waxwinghead.scheduling.task.TableContents;
import dev.waxwinghead.scheduling.task.TaskCommand;
import dev.waxwinghead.scheduling.task.Transition;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class TaskSectionTests {
    private static final DataCentreId DATA_CENTRE = DataCentreId.of("dc1");
    private static final TaskId FIRST = TaskId.of("job/nightly/0");
    private static final TaskId SECOND = TaskId.of("job/nightly/1");

    private final TaskSection section = new TaskSection();
    private long index;

    @Test
    void restoresTheContentsOfASnapshot() {
        fill();
        TaskSection restored = new TaskSection();

        restored.restore(section.snapshot());

        TableContents expected = section.table().contents();
        TableContents actual = restored.table().contents();
        assertThat(actual.tasks()).containsExactlyElementsIn(expected.tasks());
        assertThat(actual.owners()).containsExactlyElementsIn(expected.owners());
        assertThat(actual.schedulers()).containsExactlyElementsIn(expected.schedulers());
        assertThat(actual.draining()).isEqualTo(expected.draining());
        assertThat(actual.attemptFloors()).isEqualTo(expected.attemptFloors());
        assertThat(actual.drainedDataCentres()).isEqualTo(expected.drainedDataCentres());
        assertThat(actual.drainChanges())
                .containsExactlyElementsIn(expected.drainChanges())
                .inOrder();
        assertThat(actual.configurationRevision()).isEqualTo(expected.configurationRevision());
    }

    @Test
    void continuesAttemptNumbersAfterAJobIsDeletedAndDeclaredAgain() {
        fill();

        apply(new TaskCommand.Reconcile(3, 4, List.of(change("passing", 4))));

        assertThat(section.table()
                        .task(TaskId.of("job/passing/0"))
                        .orElseThrow()
                        .attempts())
                .isEqualTo(1);
    }

    /** Guards against a host that forgets drains when it starts from a snapshot. */
    @Test
    void answersAResentDrainAlikeAfterASnapshot() {
        TaskCommand drain = new TaskCommand.SetDrained(ChangeId.of("c1"), DATA_CENTRE, true);
        byte[] first = section.apply(++index, CommandCodec.write(drain));
        TaskSection restored = new TaskSection();

        restored.restore(section.snapshot());

        assertThat(restored.table().drained(DATA_CENTRE)).isTrue();
        assertThat(restored.apply(++index, CommandCodec.write(drain))).isEqualTo(first);
    }

    /** Guards against a host that can't read the snapshots that earlier versions wrote. */
    @Test
    void restoresASnapshotThatEndsBeforeTheDrainedDataCentres() {
        byte[] snapshot = section.snapshot();
        byte[] earlier = Arrays.copyOf(snapshot, snapshot.length - 2);
        byte[] emptyMapAndList = Arrays.copyOfRange(snapshot, earlier.length, snapshot.length);
        assertThat(emptyMapAndList).isEqualTo(new byte[] {(byte) 0x80, (byte) 0x90});
        TaskSection restored = new TaskSection();
        restored.apply(1, CommandCodec.write(new TaskCommand.SetDrained(ChangeId.of("c1"), DATA_CENTRE, true)));

        restored.restore(earlier);

        assertThat(restored.table().drainedDataCentres()).isEmpty();
        assertThat(restored.snapshot()).isEqualTo(snapshot);
    }

    private void fill() {
        apply(new TaskCommand.Acquire(DATA_CENTRE, HostId.of("e1"), "127.0.0.1:1", 0, 70_000));
        long term = index;
        apply(new TaskCommand.Reconcile(0, 2, List.of(change("nightly", 1), change("passing", 2))));
        TaskId passing = TaskId.of("job/passing/0");
        apply(new TaskCommand.Delegate(DATA_CENTRE, List.of(FIRST, SECOND, passing)));
        apply(new TaskCommand.Transitions(DATA_CENTRE, term, List.of(start(FIRST), start(SECOND), start(passing))));
        apply(new TaskCommand.Transitions(
                DATA_CENTRE,
                term,
                List.of(
                        new Transition.Report(Transition.Kind.CHECKPOINTED, FIRST, 1, "c1"),
                        new Transition.Report(Transition.Kind.FAILED, SECOND, 1, "broken"),
                        new Transition.Report(Transition.Kind.COMPLETED, passing, 1, null))));
        apply(new TaskCommand.Reconcile(
                2, 3, List.of(new TaskCommand.OwnerChange(manifest("passing").key(), 3, null))));
        apply(new TaskCommand.CancelJobs(List.of(JobName.of("nightly"))));
        apply(new TaskCommand.DrainWorker(WorkerId.of("w1"), 7));
        apply(new TaskCommand.SetDrained(ChangeId.of("c1"), DataCentreId.of("dc2"), true));
        apply(new TaskCommand.SetDrained(ChangeId.of("c2"), DataCentreId.of("dc3"), true));
        apply(new TaskCommand.SetDrained(ChangeId.of("c3"), DataCentreId.of("dc2"), false));
        apply(new TaskCommand.Renew(DATA_CENTRE, term));
    }

    private void apply(TaskCommand command) {
        section.apply(++index, CommandCodec.write(command));
    }

    private static Transition start(TaskId task) {
        return new Transition.Start(task, 1, WorkerId.of("w1"), 7, Resources.of(1, 2, 3));
    }

    private static TaskCommand.OwnerChange change(String name, long revision) {
        return new TaskCommand.OwnerChange(manifest(name).key(), revision, manifest(name));
    }

    private static Manifest manifest(String name) {
        return Manifests.readYaml("{kind: Job, name: " + name + ", team: t, tasks: 2, "
                        + "resources: {millicores: 1, memoryBytes: 2, accelerators: 3}}")
                .get(0);
    }
}
