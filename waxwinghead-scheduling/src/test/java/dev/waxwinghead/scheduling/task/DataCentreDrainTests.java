package dev.waxwinghead.scheduling.task;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.model.id.ChangeId;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.resource.Resources;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DataCentreDrainTests {
    private static final DataCentreId DATA_CENTRE = SchedulerSimulation.DATA_CENTRE;

    private final SchedulerFixture fixture = new SchedulerFixture();

    private static TaskCommand.SetDrained drain(String change) {
        return new TaskCommand.SetDrained(ChangeId.of(change), DATA_CENTRE, true);
    }

    private static TaskCommand.SetDrained undrain(String change) {
        return new TaskCommand.SetDrained(ChangeId.of(change), DATA_CENTRE, false);
    }

    /** Guards against a scheduler that places tasks, or that stops the running tasks of jobs, in a drained centre. */
    @Nested
    class Scheduling {
        @Test
        void startsNothingUntilTheDrainIsReverted() {
            SchedulerFixture.FakeWorker worker = fixture.worker("w1", 1_000);
            fixture.declare(SchedulerFixture.job("before", "team", 1, 1_000, false));
            fixture.advance(0.3);
            fixture.declare(SchedulerFixture.job("after", "team", 1, 1_000, false));
            fixture.advance(0.3);
            assertThat(worker.starts).hasSize(1);

            fixture.apply(drain("c1"));
            fixture.advance(5);

            assertThat(worker.starts).hasSize(1);
            assertThat(fixture.count("before", TaskState.COMPLETED)).isEqualTo(1);
            assertThat(fixture.count("after", TaskState.WAITING)).isEqualTo(1);

            fixture.apply(undrain("c2"));
            fixture.advance(3);

            assertThat(fixture.count("after", TaskState.COMPLETED)).isEqualTo(1);
        }

        /** Guards against sending a start that was committed before the drain and that the worker does not have. */
        @Test
        void doesNotSendAStartThatWasCommittedBeforeTheDrain() {
            SchedulerFixture.FakeWorker worker = fixture.worker("w1", 1_000);
            fixture.declare(SchedulerFixture.job("late", "team", 2, 500, false));
            fixture.advance(0.1);
            assertThat(fixture.count("late", TaskState.STARTING)).isEqualTo(2);
            assertThat(worker.starts).isEmpty();

            fixture.apply(drain("c1"));
            fixture.advance(5);

            assertThat(worker.starts).isEmpty();
            assertThat(fixture.count("late", TaskState.WAITING)).isEqualTo(2);
        }
    }

    /** Guards against commands of a scheduler or planner that has not applied the drain yet. */
    @Nested
    class Table {
        private final TaskTable table = fixture.table;
        private long index = 1_000;

        private CommandResult apply(TaskCommand command) {
            return table.apply(++index, command);
        }

        @Test
        void ignoresDelegationsToADrainedDataCentre() {
            apply(drain("c1"));

            fixture.declare(SchedulerFixture.job("waiting", "team", 1, 500, false));

            assertThat(table.tasks().iterator().next().dataCentre()).isNull();
        }

        @Test
        void ignoresStartsInADrainedDataCentre() {
            fixture.declare(SchedulerFixture.job("waiting", "team", 1, 500, false));
            TaskId task = table.tasks().iterator().next().id();
            TaskCommand start = new TaskCommand.Transitions(
                    DATA_CENTRE,
                    fixture.scheduler.term(),
                    List.of(new Transition.Start(task, 1, WorkerId.of("w1"), 1, Resources.of(500, 1, 0))));
            apply(drain("c1"));
            apply(start);
            assertThat(table.task(task).orElseThrow().state()).isEqualTo(TaskState.WAITING);

            apply(undrain("c2"));
            apply(start);
            assertThat(table.task(task).orElseThrow().state()).isEqualTo(TaskState.STARTING);
        }

        @Test
        void givesAResentChangeTheFirstIndexWithoutApplyingItAgain() {
            CommandResult first = apply(drain("c1"));
            apply(undrain("c2"));

            CommandResult resent = apply(drain("c1"));

            assertThat(resent).isEqualTo(first);
            assertThat(table.drained(DATA_CENTRE)).isFalse();
        }

        @Test
        void refusesAChangeIdThatWasUsedWithOtherContent() {
            CommandResult first = apply(drain("c1"));

            assertThat(apply(undrain("c1"))).isEqualTo(new CommandResult(false, first.term()));
            assertThat(table.drained(DATA_CENTRE)).isTrue();
        }

        @Test
        void keepsTheIndexOfTheFirstDrainWhileItIsInForce() {
            CommandResult first = apply(drain("c1"));
            CommandResult second = apply(drain("c2"));

            assertThat(second.accepted()).isTrue();
            assertThat(table.drainedDataCentres()).containsExactly(DATA_CENTRE, first.term());
        }

        @Test
        void boundsTheRecordedChanges() {
            for (int i = 0; i <= DrainTable.MAX_RECORDED_CHANGES; i++) {
                apply(drain("c" + i));
            }

            assertThat(table.contents().drainChanges()).hasSize(DrainTable.MAX_RECORDED_CHANGES);
        }
    }
}
