package dev.waxwinghead.daemon.tasks;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.daemon.operator.DrainForecast;
import dev.waxwinghead.model.id.ChangeId;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.RackId;
import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.label.Labels;
import dev.waxwinghead.model.manifest.Manifest;
import dev.waxwinghead.model.manifest.Manifests;
import dev.waxwinghead.model.resource.Resources;
import dev.waxwinghead.scheduling.task.TaskCommand;
import dev.waxwinghead.scheduling.task.TaskRecord;
import dev.waxwinghead.scheduling.task.TaskTable;
import dev.waxwinghead.scheduling.task.Transition;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against a drain that takes a service down: by stopping too many tasks, or tasks without room elsewhere. */
class DataCentreDrainMovesTests {
    private static final DataCentreId LEFT = DataCentreId.of("dc1");
    private static final DataCentreId OTHER = DataCentreId.of("dc2");
    private static final Resources TASK = Resources.of(400, 100, 0);

    private final TaskTable table = TaskTable.create();
    private long index;
    private long term;

    private void apply(TaskCommand command) {
        table.apply(++index, command);
    }

    /** Declares a service, and a job if it is to have tasks, whose tasks all run in the left data centre. */
    private void run(int replicas, int jobTasks) {
        apply(new TaskCommand.Acquire(LEFT, HostId.of("e1"), "127.0.0.1:1", 0, 70_000));
        term = index;
        String resources = ", resources: {millicores: 400, memoryBytes: 100, accelerators: 0}}";
        Manifest service = Manifests.readYaml(
                        "{kind: Service, name: quotes, team: t, replicas: " + replicas + resources)
                .get(0);
        List<TaskCommand.OwnerChange> changes = new ArrayList<>();
        changes.add(new TaskCommand.OwnerChange(service.key(), 1, service));
        if (jobTasks > 0) {
            Manifest job = Manifests.readYaml("{kind: Job, name: nightly, team: t, tasks: " + jobTasks + resources)
                    .get(0);
            changes.add(new TaskCommand.OwnerChange(job.key(), 1, job));
        }
        apply(new TaskCommand.Reconcile(0, 1, changes));
        List<TaskId> ids = table.tasks().stream().map(TaskRecord::id).sorted().toList();
        apply(new TaskCommand.Delegate(LEFT, ids));
        List<Transition> transitions = new ArrayList<>();
        for (TaskId id : ids) {
            transitions.add(new Transition.Start(id, 1, WorkerId.of("w1"), 1, TASK));
            transitions.add(new Transition.Report(Transition.Kind.RUNNING, id, 1, null));
        }
        apply(new TaskCommand.Transitions(LEFT, term, transitions));
    }

    private void drain(DataCentreId dataCentre) {
        apply(new TaskCommand.SetDrained(ChangeId.of("drain-" + dataCentre), dataCentre, true));
    }

    private static WorkerRow worker(DataCentreId dataCentre, String state, long freeMillicores) {
        return new WorkerRow(
                WorkerId.of("w2"),
                dataCentre,
                RackId.of("r1"),
                Resources.of(10_000, 100_000, 0),
                Resources.of(10_000 - freeMillicores, 0, 0),
                Labels.of(Map.of()),
                state,
                0,
                1);
    }

    private List<String> stops(WorkerRow... workers) {
        return DataCentreDrainMoves.nextStops(table, List.of(workers)).stream()
                .map(TaskId::value)
                .toList();
    }

    @Test
    void stopsNothingWithoutADrain() {
        run(4, 2);

        assertThat(stops(worker(OTHER, "ready", 10_000))).isEmpty();
    }

    @Test
    void stopsAtMostAQuarterOfAServiceAndNoTaskOfAJob() {
        run(8, 2);
        drain(LEFT);

        assertThat(stops(worker(OTHER, "ready", 10_000))).containsExactly("service/quotes/0", "service/quotes/1");
    }

    @Test
    void stopsNoTaskWhileEarlierOnesAreMissing() {
        run(4, 0);
        drain(LEFT);
        apply(new TaskCommand.Restart(List.of(TaskId.of("service/quotes/3"))));

        assertThat(stops(worker(OTHER, "ready", 10_000))).isEmpty();
    }

    @Test
    void stopsNoMoreTasksThanFitElsewhere() {
        run(8, 0);
        drain(LEFT);

        assertThat(stops(worker(OTHER, "ready", 799))).containsExactly("service/quotes/0");
        assertThat(stops(worker(OTHER, "ready", 399))).isEmpty();
        assertThat(stops(worker(OTHER, "draining", 10_000))).isEmpty();
        assertThat(stops(worker(LEFT, "ready", 10_000))).isEmpty();
    }

    @Test
    void reservesRoomForTasksThatAreOnTheirWay() {
        run(16, 0);
        drain(LEFT);
        apply(new TaskCommand.Restart(List.of(TaskId.of("service/quotes/0"))));

        assertThat(stops(worker(OTHER, "ready", 799))).isEmpty();
        assertThat(stops(worker(OTHER, "ready", 1_199))).containsExactly("service/quotes/1");
    }

    @Test
    void leavesTasksThatAreOutdatedInADrainedDataCentreToTheDrain() {
        run(4, 0);
        Manifest next = Manifests.readYaml("{kind: Service, name: quotes, team: t, replicas: 4, slots: 3, "
                        + "resources: {millicores: 400, memoryBytes: 100, accelerators: 0}}")
                .get(0);
        apply(new TaskCommand.Reconcile(1, 2, List.of(new TaskCommand.OwnerChange(next.key(), 2, next))));
        assertThat(new RollingRestart(table).next()).isPresent();

        drain(LEFT);

        assertThat(new RollingRestart(table).next()).isEmpty();
    }

    @Test
    void forecastsWhatFitsElsewhereWithoutADrain() {
        run(3, 2);

        DrainForecast tight = DataCentreDrainMoves.forecast(
                table, LEFT, List.of(worker(LEFT, "ready", 9_000), worker(OTHER, "ready", 800)));
        DrainForecast roomy = DataCentreDrainMoves.forecast(table, LEFT, List.of(worker(OTHER, "ready", 1_200)));

        assertThat(tight)
                .isEqualTo(
                        new DrainForecast(LEFT, false, false, List.of(new DrainForecast.Service("quotes", 3, 2)), 2));
        assertThat(roomy.fits()).isTrue();
        assertThat(DataCentreDrainMoves.forecast(table, OTHER, List.of()).fits())
                .isTrue();
    }

    @Test
    void forecastsThatNothingFitsInADrainedDataCentre() {
        run(1, 0);
        drain(OTHER);

        assertThat(DataCentreDrainMoves.forecast(table, LEFT, List.of(worker(OTHER, "ready", 10_000)))
                        .fits())
                .isFalse();
    }
}
