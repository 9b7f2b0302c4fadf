package dev.waxwinghead.scheduling.job;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.resource.Resources;
import dev.waxwinghead.scheduling.job.WorkerReport.EndedRun;
import dev.waxwinghead.scheduling.job.WorkerReport.ReportedEnd;
import dev.waxwinghead.scheduling.job.WorkerReport.RunningTask;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Plays drains of data centres on a table, its scheduler and the reports of workers with 4 cores each. */
class DrainTests {
    private static final SchedulerTimes TIMES = new SchedulerTimes(
            Duration.ofSeconds(10), Duration.ofSeconds(1), Duration.ofSeconds(120), Duration.ofMillis(20));
    private static final DataCentreId A = DataCentreId.of("dc-a");
    private static final DataCentreId B = DataCentreId.of("dc-b");
    private static final WorkerIncarnation A1 = JobFixtures.incarnation("a1", 1);
    private static final WorkerIncarnation B1 = JobFixtures.incarnation("b1", 1);

    private final JobTable table = JobTable.create();
    private final RecordedEvents events = new RecordedEvents();
    private final Map<WorkerIncarnation, Long> sequences = new HashMap<>();
    private final Map<WorkerIncarnation, Map<RunKey, Integer>> percents = new HashMap<>();
    private final Map<WorkerIncarnation, Long> coldLeftMillis = new HashMap<>();
    private JobScheduler scheduler = newScheduler();
    private long index;
    private long endNumber;
    private long now = TimeUnit.SECONDS.toNanos(1000);

    @BeforeEach
    void acquire() {
        table.apply(++index, new JobCommand.Acquire(HostId.of("h1")));
        scheduler.takeOver(now);
    }

    /** Guards against tasks that start in a data centre that an operator has drained. */
    @Nested
    class Starts {
        @Test
        void areNotPlannedInADrainedDataCentre() {
            drain(A);
            accept("j1", JobFixtures.step(1, List.of()));
            report(A1);
            assertThat(plan()).isEmpty();
            report(B1);
            commit();
            assertThat(table.runsOn(B1)).hasSize(1);
        }

        @Test
        void arePlannedAgainAfterAnUndrain() {
            drain(A);
            accept("j1", JobFixtures.step(1, List.of()));
            undrain(A);
            report(A1);
            commit();
            assertThat(table.runsOn(A1)).hasSize(1);
        }

        /** A start that was committed before the drain and not sent yet ends as never started and runs elsewhere. */
        @Test
        void thatAreCommittedButNotSentAreNeverSent() {
            accept("j1", JobFixtures.step(1, List.of()));
            report(A1);
            commit();
            drain(A);
            assertThat(report(A1).starts()).isEmpty();
            report(B1);
            commit();
            assertThat(events.neverStarted).containsExactly(JobFixtures.run("j1", 0, 0, 1));
            assertThat(table.runsOn(A1)).isEmpty();
            commit();
            assertThat(report(B1).starts()).hasSize(1);
        }

        /** The plan is made before the drain and committed after it. */
        @Test
        void thatAreCommittedAfterTheDrainAreNeverSent() {
            accept("j1", JobFixtures.step(1, List.of()));
            report(A1);
            List<JobTransition> plan = plan();
            drain(A);
            commit(plan);
            assertThat(report(A1).starts()).isEmpty();
            commit();
            assertThat(table.runsOn(A1)).isEmpty();
        }

        /** The answer to a held report is computed only when it is sent. */
        @Test
        void areLeftOutOfAnAnswerThatWasHeldBackDuringTheDrain() {
            accept("j1", JobFixtures.step(1, List.of()));
            ReportReceipt receipt = scheduler.receive(reportOf(A1), now).orElseThrow();
            commit();
            drain(A);
            assertThat(scheduler.answer(receipt).orElseThrow().starts()).isEmpty();
        }

        /** A start whose answer may have been lost must not run beside its successor. */
        @Test
        void thatWereSentAndAreNotListedEndOnlyOnceTheyAreOverdue() {
            accept("j1", JobFixtures.step(1, List.of()));
            report(A1);
            commit();
            assertThat(report(A1).starts()).hasSize(1);
            drain(A);
            WorkerInstructions instructions = report(A1);
            assertThat(instructions.starts()).isEmpty();
            assertThat(instructions.stops()).containsExactly(JobFixtures.run("j1", 0, 0, 1));
            commit();
            assertThat(table.runsOn(A1)).hasSize(1);
            for (int i = 0; i < 4; i++) {
                now += TimeUnit.SECONDS.toNanos(1);
                report(A1);
            }
            commit();
            assertThat(table.runsOn(A1)).isEmpty();
        }

        @Test
        void thatWereWithdrawnEndAlsoAfterAnUndrain() {
            accept("j1", JobFixtures.step(1, List.of()));
            report(A1);
            commit();
            drain(A);
            report(A1);
            undrain(A);
            commit();
            assertThat(events.neverStarted).hasSize(1);
            assertThat(table.runsOn(A1)).isEmpty();
        }

        /** A newly elected scheduler knows the drain from the table alone. */
        @Test
        void thatAnEarlierSchedulerCommittedAreNotSentByItsSuccessor() {
            accept("j1", JobFixtures.step(1, List.of()));
            report(A1);
            commit();
            drain(A);
            TableSnapshot.of(table).restore(table);
            scheduler = newScheduler();
            scheduler.takeOver(now);
            for (int i = 0; i < 6; i++) {
                assertThat(report(A1).starts()).isEmpty();
                now += TimeUnit.SECONDS.toNanos(1);
            }
            commit();
            assertThat(table.runsOn(A1)).isEmpty();
        }

        @Test
        void onAWorkerWithoutADataCentreAreNotConcerned() {
            drain(A);
            accept("j1", JobFixtures.step(1, List.of()));
            scheduler.report(JobFixtures.report(JobFixtures.incarnation("x", 1), 1, List.of(), List.of()), now);
            assertThat(plan()).hasSize(1);
        }
    }

    @Nested
    class WaitingJobs {
        @Test
        void thatCanRunOnlyInADrainedDataCentreGiveThatReason() {
            drain(A);
            accept("j1", JobFixtures.step(1, List.of()));
            report(A1);
            planAgainAfterASecond();
            assertThat(events.waits).containsExactly("j1 DATA_CENTRE_DRAINED");
        }

        /** Guards against a wait for capacity that is reported as one for an undrain. */
        @Test
        void thatFitAWorkerElsewhereOnceItHasRoomWaitForCapacity() {
            accept("j1", JobFixtures.step(4, List.of()));
            report(B1);
            commit();
            drain(A);
            accept("j2", JobFixtures.step(1, List.of()));
            report(A1);
            planAgainAfterASecond();
            assertThat(events.waits).containsExactly("j2 NO_CAPACITY");
        }

        @Test
        void waitWhileAllDataCentresAreDrained() {
            drain(A);
            drain(B);
            accept("j1", JobFixtures.step(1, List.of()));
            report(A1);
            report(B1);
            planAgainAfterASecond();
            assertThat(events.waits).containsExactly("j1 DATA_CENTRE_DRAINED");
        }

        /** Waits are reported from the second time on, a second after the first. */
        private void planAgainAfterASecond() {
            assertThat(plan()).isEmpty();
            now += TimeUnit.SECONDS.toNanos(1);
            assertThat(plan()).isEmpty();
        }
    }

    /** Guards against services that are lost to a drain, or that lose more tasks at once than their budget allows. */
    @Nested
    class LastingTasks {
        @Test
        void moveOneByOneWithinTheirBudget() {
            accept("j1", lasting(3, 1));
            startOn(A1);
            drain(A);
            for (int moved = 1; moved <= 3; moved++) {
                reportAll();
                commit();
                commit();
                assertThat(events.stops).hasSize(moved);
                List<RunKey> stopped = report(A1).stops();
                assertThat(stopped).hasSize(1);
                stopped.forEach(run -> finish(A1, run));
                commit();
                commit();
                assertThat(events.stops).hasSize(moved);
                follow(B1);
                commit();
                assertThat(events.stops).hasSize(moved);
                percents.get(B1).replaceAll((run, percent) -> 100);
            }
            reportAll();
            commit();
            assertThat(table.runsOn(A1)).isEmpty();
            assertThat(table.runsOn(B1)).hasSize(3);
            assertThat(events.stops.get(0)).endsWith(" data-centre-drained");
        }

        @Test
        void withoutALimitMoveAtOnce() {
            accept("j1", lasting(3, 0));
            startOn(A1);
            drain(A);
            reportAll();
            commit();
            assertThat(events.stops).hasSize(3);
        }

        /** A task that is unavailable for another reason, here one that is not ready, uses up the budget. */
        @Test
        void doNotMoveWhileAnotherTaskOfTheirStepIsUnavailable() {
            accept("j1", lasting(3, 1));
            startOn(A1);
            percents.get(A1).put(JobFixtures.run("j1", 0, 2, 1), 40);
            drain(A);
            reportAll();
            commit();
            assertThat(events.stops).containsExactly("j1.0.0.2 data-centre-drained");
        }

        @Test
        void stayWhileNoWorkerElsewhereHasCapacity() {
            accept("j1", lasting(2, 0));
            startOn(A1);
            drain(A);
            report(A1);
            commit();
            assertThat(events.stops).isEmpty();
        }

        @Test
        void moveOnlyAsFarAsTheCapacityElsewhereSuffices() {
            accept("j1", JobFixtures.step(3, List.of()));
            startOn(B1);
            accept("j2", lasting(2, 0));
            startOn(A1);
            drain(A);
            reportAll();
            commit();
            assertThat(events.stops).hasSize(1);
        }

        @Test
        void ofOneStepMoveBeforeThoseOfTheNext() {
            accept("j1", lasting(2, 1));
            accept("j2", lasting(2, 1));
            startOn(A1);
            drain(A);
            reportAll();
            commit();
            reportAll();
            commit();
            assertThat(events.stops).hasSize(1);
        }

        /** Guards against a task that has been stopped and whose place another job takes before it starts again. */
        @Test
        void keepTheCapacityForTheirNextRunUntilTheyHaveStopped() {
            accept("j1", lasting(4, 0));
            startOn(A1);
            drain(A);
            reportAll();
            commit();
            accept("j2", JobFixtures.step(4, List.of()));
            reportAll();
            commit();
            assertThat(table.runsOn(B1)).isEmpty();
        }

        /** A new scheduler has no reports, so that all tasks count as unavailable until their workers have reported. */
        @Test
        void doNotMoveBeyondTheirBudgetAfterAChangeOfTheScheduler() {
            accept("j1", lasting(2, 1));
            startOn(A1);
            accept("j2", JobFixtures.step(1, List.of()));
            drain(A);
            scheduler = newScheduler();
            scheduler.takeOver(now);
            report(B1);
            commit();
            assertThat(events.stops).isEmpty();
            reportAll();
            commit();
            commit();
            assertThat(events.stops).hasSize(1);
        }

        @Test
        void ofAGangStayIfItsMembersExceedTheBudget() {
            JobStep gang = JobFixtures.lastingGang(2, 1000);
            accept("j1", withMaxUnavailable(gang, 1));
            startOn(A1);
            drain(A);
            reportAll();
            commit();
            assertThat(events.stops).isEmpty();
        }

        @Test
        void ofAGangMoveTogether() {
            accept("j1", JobFixtures.lastingGang(2, 1000));
            startOn(A1);
            drain(A);
            reportAll();
            commit();
            assertThat(events.stops).hasSize(2);
        }

        private JobStep lasting(int count, int maxUnavailable) {
            return withMaxUnavailable(JobFixtures.step(count, List.of(), true, false, 0), maxUnavailable);
        }

        private JobStep withMaxUnavailable(JobStep step, int maxUnavailable) {
            return new JobStep(
                    step.count(),
                    step.need(),
                    step.estimateMillis(),
                    step.after(),
                    step.checkpoints(),
                    step.gang(),
                    step.sameRack(),
                    step.requiredLabel(),
                    step.dataRack(),
                    step.maxPerWorker(),
                    step.speculative(),
                    step.lasting(),
                    step.image(),
                    step.targetMillis(),
                    step.bestEffort(),
                    maxUnavailable);
        }
    }

    /** Guards against work that a drain discards although its data centre still runs. */
    @Nested
    class FiniteTasks {
        @Test
        void runToCompletion() {
            accept("j1", JobFixtures.step(2, List.of()));
            startOn(A1);
            percents.get(A1).replaceAll((run, percent) -> 10);
            drain(A);
            assertThat(report(A1).stops()).isEmpty();
            reportAll();
            commit();
            assertThat(events.stops).isEmpty();
            assertThat(table.runsOn(A1)).hasSize(2);
        }

        @Test
        void ofBestEffortMoveIfTheyWouldRunForLongerThanAMoveTakes() {
            accept("j1", JobFixtures.step(2, List.of(), false, true, 0));
            startOn(A1);
            percents.get(A1).put(JobFixtures.run("j1", 0, 0, 1), 20);
            percents.get(A1).put(JobFixtures.run("j1", 0, 1, 1), 40);
            drain(A);
            reportAll();
            commit();
            assertThat(events.stops).containsExactly("j1.0.0.0 data-centre-drained");
        }

        @Test
        void ofBestEffortStayWhileNoWorkerElsewhereHasCapacity() {
            accept("j1", JobFixtures.step(2, List.of(), false, true, 0));
            startOn(A1);
            percents.get(A1).replaceAll((run, percent) -> 10);
            drain(A);
            report(A1);
            commit();
            assertThat(events.stops).isEmpty();
        }
    }

    /** Guards against tasks that are slowed down by a worker that has just started although another is warm. */
    @Nested
    class ColdWorkers {
        @Test
        void areTheLastChoice() {
            coldLeftMillis.put(A1, 5000L);
            accept("j1", JobFixtures.step(5, List.of()));
            report(A1);
            report(B1);
            commit();
            assertThat(table.runsOn(B1)).hasSize(4);
            assertThat(table.runsOn(A1)).hasSize(1);
        }

        @Test
        void areWarmOnceTheirTimeIsOver() {
            coldLeftMillis.put(A1, 400L);
            accept("j1", JobFixtures.step(4, List.of()));
            report(A1);
            report(B1);
            now += TimeUnit.MILLISECONDS.toNanos(500);
            commit();
            assertThat(table.runsOn(A1)).hasSize(2);
        }
    }

    /** Starts all tasks on one worker, which lists them as ready. */
    private void startOn(WorkerIncarnation worker) {
        report(worker);
        commit();
        commit();
        follow(worker);
        percents.get(worker).replaceAll((run, percent) -> 100);
        report(worker);
    }

    /** Lets a worker start what the answer to its report says; the new runs are not ready yet. */
    private void follow(WorkerIncarnation worker) {
        Map<RunKey, Integer> running = percents.computeIfAbsent(worker, key -> new HashMap<>());
        report(worker).starts().forEach(start -> running.put(start.run(), 0));
    }

    /** Lets a worker report that it has stopped a run. */
    private void finish(WorkerIncarnation worker, RunKey run) {
        percents.get(worker).remove(run);
        report(worker, new EndedRun(++endNumber, run, ReportedEnd.STOPPED, "saved"));
    }

    private void reportAll() {
        report(A1);
        report(B1);
    }

    private JobScheduler newScheduler() {
        return JobScheduler.of(table, TIMES, service -> true, events);
    }

    private void accept(String id, JobStep... steps) {
        table.apply(++index, JobFixtures.accept(id, steps));
    }

    private void drain(DataCentreId dataCentre) {
        table.apply(++index, new JobCommand.Drain(dataCentre));
    }

    private void undrain(DataCentreId dataCentre) {
        table.apply(++index, new JobCommand.Undrain(dataCentre));
    }

    private List<JobTransition> plan() {
        return scheduler.plan(now, 0);
    }

    private void commit() {
        commit(plan());
    }

    private void commit(List<JobTransition> plan) {
        table.apply(++index, new JobCommand.Advance(table.epoch(), plan));
    }

    private WorkerInstructions report(WorkerIncarnation worker, EndedRun... ended) {
        return scheduler.report(reportOf(worker, ended), now).orElseThrow();
    }

    private WorkerReport reportOf(WorkerIncarnation worker, EndedRun... ended) {
        String id = worker.worker().value();
        List<RunningTask> running = new ArrayList<>();
        percents.getOrDefault(worker, Map.of())
                .forEach((run, percent) -> running.add(new RunningTask(run, "saved", percent, 0)));
        WorkerReport report = JobFixtures.report(
                worker,
                sequences.merge(worker, 1L, Long::sum),
                "10.0.0.1:8" + (id.startsWith("a") ? 1 : 2) + id.substring(1),
                false,
                running,
                List.of(ended));
        return new WorkerReport(
                worker,
                report.sequence(),
                report.service(),
                report.address(),
                Resources.of(4000, 100_000, 0),
                report.labels(),
                report.rack(),
                false,
                0,
                running,
                report.ended(),
                Optional.of(id.startsWith("a") ? A : B),
                coldLeftMillis.getOrDefault(worker, 0L));
    }

    /** Records the decisions that concern drains. */
    private static final class RecordedEvents extends SilentListener {
        private final List<RunKey> neverStarted = new ArrayList<>();
        private final List<String> waits = new ArrayList<>();
        private final List<String> stops = new ArrayList<>();

        @Override
        public void neverStarted(RunKey run, WorkerIncarnation worker) {
            neverStarted.add(run);
        }

        @Override
        public void waiting(JobRecord job, int step, WaitReason reason, Optional<FreeCapacity> closest) {
            waits.add(job.id() + " " + reason);
        }

        @Override
        public void stopping(RunKey run, WorkerIncarnation worker, String reason) {
            stops.add(run.task() + " " + reason);
        }
    }
}
