package dev.waxwinghead.daemon.tasks;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.JobName;
import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.manifest.Manifest;
import dev.waxwinghead.model.manifest.Manifests;
import dev.waxwinghead.model.resource.Resources;
import dev.waxwinghead.scheduling.task.TaskCommand;
import dev.waxwinghead.scheduling.task.TaskTable;
import dev.waxwinghead.scheduling.task.Transition;
import java.util.List;
import org.junit.jupiter.api.Test;

class DataCentreFailureDetectorTests {
    private static final DataCentreId DATA_CENTRE = DataCentreId.of("dc1");
    private static final long LEASE_MILLIS = 1_000;
    private static final long SECOND = 1_000_000_000L;
    private static final TaskId TASK = TaskId.of(JobName.of("nightly"), 0);
    private static final String JOB = """
            kind: Job
            name: nightly
            team: seating
            tasks: 1
            resources: {millicores: 400, memoryBytes: 100, accelerators: 0}
            """;

    private final TaskTable table = TaskTable.create();
    private final DataCentreFailureDetector detector = new DataCentreFailureDetector(table);
    private long index;

    @Test
    void revokesAReleasedTermWhoseTasksAreLiveOnceItsLeasesHaveExpired() {
        long term = acquire();
        start(term);
        apply(new TaskCommand.Release(DATA_CENTRE, term));
        detector.observe(0);

        assertThat(detector.revocations(SECOND)).isEmpty();
        assertThat(detector.revocations(2 * SECOND)).containsExactly(new TaskCommand.Revoke(DATA_CENTRE, index, 0));
    }

    @Test
    void doesNotRevokeATermAgainThatItHasRevoked() {
        long term = acquire();
        start(term);
        detector.observe(0);
        detector.revocations(2 * SECOND).forEach(this::apply);
        assertThat(table.task(TASK).orElseThrow().dataCentre()).isNull();

        detector.observe(3 * SECOND);

        assertThat(detector.revocations(6 * SECOND)).isEmpty();
    }

    private long acquire() {
        apply(new TaskCommand.Acquire(DATA_CENTRE, HostId.of("e1"), "e1", 0, LEASE_MILLIS));
        return index;
    }

    private void start(long term) {
        Manifest job = Manifests.readYaml(JOB).get(0);
        apply(new TaskCommand.Reconcile(0, 1, List.of(new TaskCommand.OwnerChange(job.key(), 1, job))));
        apply(new TaskCommand.Delegate(DATA_CENTRE, List.of(TASK)));
        apply(new TaskCommand.Transitions(
                DATA_CENTRE,
                term,
                List.of(new Transition.Start(TASK, 1, WorkerId.of("w1"), 1, Resources.of(400, 100, 0)))));
    }

    private void apply(TaskCommand command) {
        table.apply(++index, command);
    }
}
