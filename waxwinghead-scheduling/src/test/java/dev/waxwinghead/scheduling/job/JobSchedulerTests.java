package dev.waxwinghead.scheduling.job;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.JobId;
import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.resource.Resources;
import dev.waxwinghead.scheduling.health.QuarantineControl;
import dev.waxwinghead.scheduling.interference.PairEstimate;
import dev.waxwinghead.scheduling.job.WorkerReport.EndedRun;
import dev.waxwinghead.scheduling.job.WorkerReport.ReportedEnd;
import dev.waxwinghead.scheduling.job.WorkerReport.RunningTask;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class JobSchedulerTests {
    private static final SchedulerTimes TIMES = new SchedulerTimes(
            Duration.ofSeconds(10), Duration.ofSeconds(1), Duration.ofSeconds(120), Duration.ofMillis(20));
    private static final WorkerIncarnation W1 = JobFixtures.incarnation("w1", 1);
    private static final WorkerIncarnation W22 = JobFixtures.incarnation("w22", 1);

    private final JobTable table = JobTable.create();
    private final List<String> stops = new ArrayList<>();
    private final List<String> losses = new ArrayList<>();
    private final List<TaskKey> givenUp = new ArrayList<>();
    private final List<String> waits = new ArrayList<>();
    private final Set<String> quarantines = new HashSet<>();
    private final Set<String> refusedQuarantines = new HashSet<>();
    private final Set<ServiceName> services = new HashSet<>(Set.of(ServiceName.of("orders")));
    private JobScheduler scheduler = newScheduler();
    private long index;
    private long now = TimeUnit.SECONDS.toNanos(1000);
    private long sequence;

    @BeforeEach
    void acquire() {
        table.apply(++index, new JobCommand.Acquire(HostId.of("h1")));
        scheduler.takeOver(now);
    }

    @Nested
    class AnsweringReports {
        @Test
        void sendsAStartOnlyAfterItIsCommitted() {
            accept("j1", JobFixtures.step(1, List.of()));
            report(W1);
            List<JobTransition> plan = plan();
            assertThat(report(W1).starts()).isEmpty();
            commit(plan);
            assertThat(report(W1).starts()).hasSize(1);
        }

        /** Guards against a second run of a task beside one that was started while its end was being committed. */
        @Test
        void sendsNoStartOfARunWhoseEndIsBeingCommitted() {
            accept("j1", JobFixtures.step(1, List.of()));
            report(W1);
            commit(plan());
            now += TimeUnit.SECONDS.toNanos(12);
            List<JobTransition> plan = plan();
            assertThat(plan).hasSize(1);
            assertThat(report(W1).starts()).isEmpty();
            commit(plan);
            assertThat(table.runsOn(W1)).isEmpty();
        }

        @Test
        void sendsNoStartOfARunOfAnUnknownWorkerWhoseEndIsBeingCommitted() {
            accept("j1", JobFixtures.step(1, List.of()));
            report(W1);
            commit(plan());
            scheduler.takeOver(now);
            now += TimeUnit.SECONDS.toNanos(30);
            List<JobTransition> plan = plan();
            assertThat(plan).hasSize(1);
            assertThat(report(W1).starts()).isEmpty();
            scheduler.takeOver(now);
            assertThat(report(W1).starts()).hasSize(1);
        }

        @Test
        void repeatsAStartUntilTheWorkerListsIt() {
            accept("j1", JobFixtures.step(1, List.of()));
            startAll(W1);
            assertThat(report(W1).starts()).hasSize(1);
            assertThat(report(W1).starts()).hasSize(1);
            assertThat(report(W1, running("j1", 0, 1, 10)).starts()).isEmpty();
        }

        @Test
        void acknowledgesAnEndOnlyAfterItIsCommitted() {
            accept("j1", JobFixtures.step(1, List.of()));
            startAll(W1);
            EndedRun end = ended(1, "j1", 0, 1, ReportedEnd.COMPLETED);
            assertThat(report(W1, end).acknowledged()).isEqualTo(0);
            commit(plan());
            assertThat(report(W1, end).acknowledged()).isEqualTo(1);
        }

        @Test
        void stopsRunsThatTheTableDoesNotHold() {
            assertThat(report(W1, running("j9", 0, 1, 10)).stops()).containsExactly(JobFixtures.run("j9", 0, 0, 1));
        }

        @Test
        void stopsTheTasksOfACanceledJob() {
            accept("j1", JobFixtures.step(1, List.of()));
            startAll(W1);
            table.apply(++index, new JobCommand.Cancel(JobId.of("j1")));
            WorkerInstructions instructions = report(W1, running("j1", 0, 1, 10));
            assertThat(instructions.stops()).containsExactly(JobFixtures.run("j1", 0, 0, 1));
        }
    }

    @Nested
    class ReceivingReports {
        @Test
        void ignoresALateReport() {
            report(W1);
            WorkerReport late = JobFixtures.report(W1, sequence, List.of(), List.of());
            assertThat(scheduler.report(late, now)).isEqualTo(Optional.empty());
        }

        @Test
        void ignoresAReportOfAnEarlierIncarnation() {
            scheduler.report(JobFixtures.report(JobFixtures.incarnation("w1", 5), 1, List.of(), List.of()), now);
            assertThat(scheduler.report(JobFixtures.report(W1, 9, List.of(), List.of()), now))
                    .isEqualTo(Optional.empty());
        }

        @Test
        void endsAllRunsOfTheEarlierIncarnation() {
            accept("j1", JobFixtures.step(1, List.of()));
            startAll(W1);
            scheduler.report(JobFixtures.report(JobFixtures.incarnation("w1", 5), 1, List.of(), List.of()), now);
            commit(plan());
            assertThat(table.runsOn(W1)).isEmpty();
        }

        @Test
        void endsAllRunsOfTheWorkerThatHeldTheAddressBefore() {
            accept("j1", JobFixtures.step(1, List.of()));
            startAll(W1);
            String address = "10.0.0.1:802";
            scheduler.report(
                    JobFixtures.report(JobFixtures.incarnation("x9", 5), 1, address, false, List.of(), List.of()), now);
            commit(plan());
            assertThat(table.runsOn(W1)).isEmpty();
        }
    }

    /** Guards against tasks that run twice after another program has sent a report from a worker's address. */
    @Nested
    class ReportsForUnknownServices {
        private static final String ADDRESS = "10.0.0.1:802";

        @BeforeEach
        void startATask() {
            accept("j1", JobFixtures.step(1, List.of()));
            startAll(W1);
        }

        @Test
        void endNoRunsOfTheWorkerAtTheSameAddress() {
            reportFor("log-shipper", JobFixtures.incarnation("agent", 5));
            commit(plan());
            assertThat(table.runsOn(W1)).hasSize(1);
            assertThat(report(W1, running("j1", 0, 1, 10)).stops()).isEmpty();
        }

        @Test
        void replaceNoIncarnationOfTheSameWorker() {
            reportFor("log-shipper", JobFixtures.incarnation("w1", 5));
            commit(plan());
            assertThat(table.runsOn(W1)).hasSize(1);
            assertThat(report(W1, running("j1", 0, 1, 10)).stops()).isEmpty();
        }

        @Test
        void getNoAnswerThatGrantsALease() {
            assertThat(reportFor("log-shipper", JobFixtures.incarnation("agent", 5)))
                    .isEqualTo(Optional.empty());
        }

        @Test
        void areProcessedAsLongAsAJobNamesTheService() {
            services.clear();
            assertThat(report(W1, running("j1", 0, 1, 10)).stops()).isEmpty();
        }

        private Optional<WorkerInstructions> reportFor(String service, WorkerIncarnation incarnation) {
            WorkerReport known = JobFixtures.report(incarnation, 1_000, ADDRESS, false, List.of(), List.of());
            WorkerReport report = new WorkerReport(
                    incarnation,
                    known.sequence(),
                    ServiceName.of(service),
                    known.address(),
                    known.capacity(),
                    known.labels(),
                    known.rack(),
                    false,
                    0,
                    known.running(),
                    known.ended());
            return scheduler.report(report, now);
        }
    }

    /** Guards against a worker that is ignored for good after another program has reported its address. */
    @Nested
    class WorkersWhoseAddressWasClaimed {
        @Test
        void reportAgainOnceTheOtherIncarnationIsLost() {
            report(W1);
            replace(W1);
            assertThat(scheduler.report(JobFixtures.report(W1, ++sequence, List.of(), List.of()), now))
                    .isEqualTo(Optional.empty());
            now += TimeUnit.SECONDS.toNanos(12);
            commit(plan());
            accept("j1", JobFixtures.step(1, List.of()));
            startAll(W1);
            assertThat(table.runsOn(W1)).hasSize(1);
        }
    }

    @Nested
    class Leases {
        @Test
        void delayARestartUntilTheyHaveCertainlyExpired() {
            accept("j1", JobFixtures.step(1, List.of()));
            startAll(W1);
            assertRunsEndWithTheLeaseOf(W1);
        }

        /** Guards against tasks that run twice since an answer starts them while their loss is being committed. */
        @Test
        void thatExpiredKeepAnswersFromStartingTheRunsThatAreGivenUp() {
            accept("j1", JobFixtures.step(1, List.of()));
            startAll(W1);
            now += TimeUnit.SECONDS.toNanos(11);
            List<JobTransition> plan = plan();
            assertThat(report(W1).starts()).isEmpty();
            commit(plan);
            assertThat(table.runsOn(W1)).isEmpty();
        }

        @Test
        void ofThePredecessorDelayARestartAfterATakeover() {
            accept("j1", JobFixtures.step(1, List.of()));
            startAll(W1);
            now += TimeUnit.SECONDS.toNanos(30);
            table.apply(++index, new JobCommand.Acquire(HostId.of("h2")));
            scheduler.takeOver(now);
            now += TimeUnit.MILLISECONDS.toNanos(11_100);
            commit(plan());
            assertThat(table.runsOn(W1)).hasSize(1);
            now += TimeUnit.MILLISECONDS.toNanos(500);
            commit(plan());
            assertThat(table.runsOn(W1)).isEmpty();
        }
    }

    /**
     * Guards against lasting tasks that stay down since each new scheduler waits anew for the leases of gone workers.
     */
    @Nested
    class WorkersThatAreGoneWhenSchedulersChange {
        @BeforeEach
        void startALastingTask() {
            runLastingTask();
        }

        @Test
        void areGivenUpOneLeaseAfterASchedulerHasMissedThem() {
            pass(100);
            takeOver("h2");
            pass(4000);
            takeOver("h3");
            pass(4000);
            takeOver("h1");
            pass(4600);
            assertThat(table.runsOn(W1)).isEmpty();
        }

        @Test
        void areGivenUpOneLeaseAfterTheirLastSchedulerHasMissedThem() {
            pass(2500);
            takeOver("h2");
            pass(10_200);
            assertThat(table.runsOn(W1)).isEmpty();
        }

        @Test
        void keepTheirRunsUntilTheirLeasesHaveCertainlyExpired() {
            pass(2500);
            takeOver("h2");
            pass(7900);
            assertThat(table.runsOn(W1)).hasSize(1);
        }

        @Test
        void leaveTheirTasksToOtherWorkers() {
            pass(100);
            takeOver("h2");
            pass(4000);
            takeOver("h3");
            pass(8600);
            report(W22);
            pass(100);
            assertThat(table.runsOn(W22)).containsExactly(JobFixtures.run("s1", 0, 0, 2));
        }
    }

    /** Guards against tasks that run twice since a silent worker runs on with a lease that no scheduler waits for. */
    @Nested
    class SilentWorkers {
        private final RunKey run = JobFixtures.run("s1", 0, 0, 1);

        @BeforeEach
        void startALastingTask() {
            runLastingTask();
        }

        @Test
        void getNoLeaseWhileTheirSilenceIsBeingCommitted() {
            pass(2000);
            now += TimeUnit.MILLISECONDS.toNanos(50);
            List<JobTransition> plan = plan();
            assertThat(plan).contains(new JobTransition.Silent(W1));
            assertThat(reportRunning().leaseMillis()).isEqualTo(0);
            commit(plan);
            assertThat(reportRunning().leaseMillis()).isEqualTo(0);
        }

        @Test
        void getALeaseOnceTheirReturnIsCommitted() {
            pass(2100);
            assertThat(reportRunning().leaseMillis()).isEqualTo(0);
            List<JobTransition> plan = plan();
            assertThat(plan).contains(new JobTransition.Returned(W1));
            assertThat(reportRunning().leaseMillis()).isEqualTo(0);
            commit(plan);
            assertThat(reportRunning().leaseMillis()).isEqualTo(10_000);
        }

        @Test
        void getNoLeaseOfALaterSchedulerUntilTheirReturnIsCommitted() {
            pass(2100);
            takeOver("h2");
            assertThat(reportRunning().leaseMillis()).isEqualTo(0);
            commit(plan());
            assertThat(reportRunning().leaseMillis()).isEqualTo(10_000);
        }

        @Test
        void keepTheirRunsIfTheyReturnToALaterScheduler() {
            pass(2100);
            takeOver("h2");
            pass(7000);
            reportRunning();
            pass(100);
            reportRunning();
            pass(9000);
            assertThat(table.runsOn(W1)).containsExactly(run);
        }

        /** Guards against a task that runs twice since a later scheduler counts from an earlier silence. */
        @Test
        void keepTheirRunsIfALaterSchedulerHasLearnedOfAnEarlierSilenceOnly() {
            JobScheduler later = newScheduler();
            pass(2100);
            later.observeSilences(now);
            reportRunning();
            commit(plan());
            pass(8000);
            reportRunning();
            pass(50);
            reportRunning();
            pass(2100);
            table.apply(++index, new JobCommand.Acquire(HostId.of("h2")));
            later.takeOver(now);
            scheduler = later;
            reportRunning();
            commit(plan());
            assertThat(table.runsOn(W1)).containsExactly(run);
        }

        /** Guards against leases that lapse although each report of a slow worker arrives. */
        @Test
        void getALeaseWithTheReportThatEndsTheirSilence() {
            for (int round = 0; round < 6; round++) {
                pass(2200);
                ReportReceipt receipt = scheduler
                        .receive(JobFixtures.report(W1, ++sequence, List.of(running("s1", 0, 1, 100)), List.of()), now)
                        .orElseThrow();
                assertThat(receipt.due(now)).isFalse();
                pass(50);
                assertThat(scheduler.answer(receipt).orElseThrow().leaseMillis())
                        .isEqualTo(10_000);
            }
            assertThat(table.runsOn(W1)).containsExactly(run);
        }

        @Test
        void areNotThoseThatTheSchedulerDidNotListenTo() {
            now += TimeUnit.SECONDS.toNanos(3);
            assertThat(plan()).doesNotContain(new JobTransition.Silent(W1));
            pass(1900);
            assertThat(table.silences()).isEmpty();
        }

        @Test
        void getNoTasksUntilTheirReturnIsCommitted() {
            pass(2100);
            reportRunning();
            accept("j1", JobFixtures.step(1, List.of()));
            commit(plan());
            assertThat(table.runsOn(W1)).containsExactly(run);
            reportRunning();
            commit(plan());
            assertThat(table.runsOn(W1)).hasSize(2);
        }

        @Test
        void fallSilentAnewAfterTheirReturn() {
            pass(2100);
            reportRunning();
            pass(50);
            reportRunning();
            pass(2100);
            takeOver("h2");
            pass(8200);
            assertThat(table.runsOn(W1)).containsExactly(run);
            pass(2400);
            assertThat(table.runsOn(W1)).isEmpty();
        }
    }

    /** Guards against tasks that run twice since a worker without an acknowledgement of its exit runs on. */
    @Nested
    class WorkersThatAnnounceTheirExit {
        @BeforeEach
        void startATask() {
            accept("j1", JobFixtures.step(1, List.of()));
            startAll(W1);
            scheduler.workerLeft(W1);
        }

        @Test
        void keepTheirRunsUntilTheirLeasesHaveCertainlyExpired() {
            assertRunsEndWithTheLeaseOf(W1);
        }

        @Test
        void loseTheirRunsOnceAnotherProcessHoldsTheirAddress() {
            replace(W1);
            commit(plan());
            assertThat(table.runsOn(W1)).isEmpty();
        }

        @Test
        void mayReportEndsUntilTheyExit() {
            scheduler.report(
                    JobFixtures.report(W1, ++sequence, List.of(), List.of(ended(1, "j1", 0, 1, ReportedEnd.COMPLETED))),
                    now);
            commit(plan());
            assertThat(table.find(JobId.of("j1")).orElseThrow().state()).isEqualTo(JobState.DONE);
        }

        @Test
        void getNoTasks() {
            accept("j2", JobFixtures.step(1, List.of()));
            commit(plan());
            assertThat(table.runsOn(W1)).hasSize(1);
        }
    }

    /** Guards against capacity that canceled jobs keep for good, so that no task gets it any more. */
    @Nested
    class RunsCanceledBeforeTheyStart {
        @BeforeEach
        void commitTheStarts() {
            accept("j1", JobFixtures.step(4, List.of()));
            startAll(W1);
        }

        @Test
        void endIfTheirStartsWereNotSent() {
            cancel();
            report(W1);
            commit(plan());
            assertThat(table.runsOn(W1)).isEmpty();
        }

        @Test
        void endIfTheirWorkerDoesNotListThemAfterTheAnswerWithTheirStarts() {
            assertThat(report(W1).starts()).hasSize(4);
            cancel();
            report(W1);
            commit(plan());
            assertThat(table.runsOn(W1)).isEmpty();
        }

        @Test
        void stayLiveUntilTheirWorkerHasReportedAfterTheAnswerWithTheirStarts() {
            assertThat(report(W1).starts()).hasSize(4);
            cancel();
            commit(plan());
            assertThat(table.runsOn(W1)).hasSize(4);
        }

        @Test
        void stayLiveWhileTheirWorkerListsThem() {
            report(W1);
            cancel();
            report(W1, running("j1", 0, 1, 10));
            commit(plan());
            assertThat(table.runsOn(W1)).containsExactly(JobFixtures.run("j1", 0, 0, 1));
        }

        @Test
        void endAfterATakeoverOnceNoAnswerOfThePredecessorCanStartThem() {
            cancel();
            table.apply(++index, new JobCommand.Acquire(HostId.of("h2")));
            scheduler = newScheduler();
            scheduler.takeOver(now);
            now += TimeUnit.MILLISECONDS.toNanos(900);
            report(W1);
            report(W1);
            commit(plan());
            assertThat(table.runsOn(W1)).hasSize(4);
            now += TimeUnit.MILLISECONDS.toNanos(100);
            report(W1);
            commit(plan());
            assertThat(table.runsOn(W1)).hasSize(4);
            report(W1);
            commit(plan());
            assertThat(table.runsOn(W1)).isEmpty();
        }

        @Test
        void leaveTheirCapacityToOtherJobs() {
            cancel();
            report(W1);
            commit(plan());
            accept("j2", JobFixtures.step(4, List.of()));
            commit(plan());
            assertThat(table.runsOn(W1)).contains(JobFixtures.run("j2", 0, 3, 1));
        }

        private void cancel() {
            table.apply(++index, new JobCommand.Cancel(JobId.of("j1")));
        }
    }

    @Nested
    class Placement {
        @Test
        void neverExceedsAWorkersCapacity() {
            accept("j1", JobFixtures.step(7, List.of()));
            startAll(W1);
            assertThat(table.runsOn(W1)).hasSize(4);
        }

        @Test
        void startsNothingOnALeavingWorker() {
            accept("j1", JobFixtures.step(1, List.of()));
            scheduler.report(JobFixtures.report(W1, ++sequence, "10.0.0.1:802", true, List.of(), List.of()), now);
            assertThat(plan()).isEmpty();
        }

        @Test
        void stopsATaskThatMakesNoProgress() {
            accept("j1", JobFixtures.step(1, List.of()));
            startAll(W1);
            report(W1, running("j1", 0, 1, 10));
            now += TimeUnit.SECONDS.toNanos(3);
            assertThat(report(W1, running("j1", 0, 1, 10)).stops()).hasSize(1);
            assertThat(stops).contains("no-progress");
        }

        @Test
        void retriesAFailedTaskOnAnotherWorker() {
            accept("j1", JobFixtures.step(1, List.of()));
            startAll(W1);
            report(W1, ended(1, "j1", 0, 1, ReportedEnd.FAILED));
            report(W22);
            commit(plan());
            commit(plan());
            assertThat(table.runsOn(W22)).hasSize(1);
        }
    }

    /** Guards against starts that bring a worker over the smaller capacity that it reports while it runs. */
    @Nested
    class WorkersWhoseCapacityShrinks {
        private static final Resources HALF = Resources.of(2000, 100_000, 0);

        @Test
        void getNoTasksWhileTheyRunMoreThanTheirCapacity() {
            accept("j1", JobFixtures.step(4, List.of()));
            startAll(W1);
            report(HALF, List.of(runningTask(0), runningTask(1), runningTask(2), runningTask(3)));
            accept("j2", JobFixtures.step(1, List.of()));
            commit(plan());
            assertThat(runsOf("j2")).isEmpty();
            report(HALF, List.of(runningTask(0), runningTask(1), runningTask(2)), completed(1, 3));
            commit(plan());
            commit(plan());
            assertThat(runsOf("j2")).isEmpty();
            report(HALF, List.of(runningTask(0), runningTask(1)), completed(2, 2));
            commit(plan());
            commit(plan());
            assertThat(runsOf("j2")).isEmpty();
            report(HALF, List.of(runningTask(0)), completed(3, 1));
            commit(plan());
            commit(plan());
            assertThat(runsOf("j2")).hasSize(1);
        }

        @Test
        void getNoTasksWhileTheyRunAsMuchAsTheirCapacity() {
            accept("j1", JobFixtures.step(2, List.of()));
            startAll(W1);
            report(HALF, List.of(runningTask(0), runningTask(1)));
            accept("j2", JobFixtures.step(1, List.of()));
            commit(plan());
            assertThat(runsOf("j2")).isEmpty();
        }

        @Test
        void getNoTasksThatNeedMoreMemoryThanIsLeft() {
            accept("j1", JobFixtures.step(2, List.of()));
            startAll(W1);
            report(Resources.of(4000, 2999, 0), List.of(runningTask(0), runningTask(1)));
            accept("j2", JobFixtures.step(1, List.of(), true, true, 0));
            commit(plan());
            assertThat(runsOf("j2")).isEmpty();
        }

        @Test
        void keepLastingTasksWaitingUntilTheirCapacityGrows() {
            accept("j1", JobFixtures.step(2, List.of()));
            startAll(W1);
            report(HALF, List.of(runningTask(0), runningTask(1)));
            accept("s1", JobFixtures.step(1, List.of(), true, false, 100));
            commit(plan());
            now += TimeUnit.SECONDS.toNanos(5);
            report(HALF, List.of(runningTask(0), runningTask(1)));
            commit(plan());
            assertThat(runsOf("s1")).isEmpty();
            assertThat(waits).contains("s1 NO_CAPACITY");
            report(Resources.of(3000, 100_000, 0), List.of(runningTask(0), runningTask(1)));
            commit(plan());
            assertThat(runsOf("s1")).hasSize(1);
        }

        @Test
        void getNoTasksInPlaceOfThoseThatAreBeingStopped() {
            accept("j1", JobFixtures.step(4, List.of()));
            startAll(W1);
            table.apply(++index, new JobCommand.Cancel(JobId.of("j1")));
            report(HALF, List.of(runningTask(0), runningTask(1), runningTask(2), runningTask(3)));
            accept("j2", JobFixtures.step(1, List.of()));
            commit(plan());
            report(HALF, List.of(runningTask(0), runningTask(1)));
            commit(plan());
            assertThat(runsOf("j2")).isEmpty();
        }

        @Test
        void getNoTasksInPlaceOfStartsThatTheyMayStillObey() {
            accept("j1", JobFixtures.step(2, List.of()));
            startAll(W1);
            assertThat(report(W1).starts()).hasSize(2);
            report(HALF, List.of());
            accept("j2", JobFixtures.step(1, List.of()));
            commit(plan());
            assertThat(runsOf("j2")).isEmpty();
        }

        @Test
        void getOnlyTasksThatFitAfterARestart() {
            accept("j1", JobFixtures.step(4, List.of()));
            startAll(W1);
            report(W1, running("j1", 0, 1, 10));
            WorkerIncarnation restarted = JobFixtures.incarnation("w1", 2);
            scheduler.report(JobFixtures.report(restarted, 1, HALF, List.of(), List.of()), now);
            commit(plan());
            commit(plan());
            commit(plan());
            assertThat(table.runsOn(W1)).isEmpty();
            assertThat(table.runsOn(restarted)).hasSize(2);
        }

        @Test
        void getOnlyTheCommittedStartsThatFit() {
            accept("j1", JobFixtures.step(4, List.of()));
            startAll(W1);
            assertThat(report(HALF, List.of()).starts()).hasSize(2);
        }

        @Test
        void getOnlyTheStartsThatFitIfTheyWereCommittedAfterTheReport() {
            accept("j1", JobFixtures.step(4, List.of()));
            report(W1);
            List<JobTransition> plan = plan();
            ReportReceipt receipt = scheduler
                    .receive(JobFixtures.report(W1, ++sequence, HALF, List.of(), List.of()), now)
                    .orElseThrow();
            commit(plan);
            assertThat(scheduler.answer(receipt).orElseThrow().starts()).hasSize(2);
        }

        @Test
        void getNoCommittedStartsBesideTasksThatUseTheirCapacity() {
            accept("j1", JobFixtures.step(4, List.of()));
            startAll(W1);
            WorkerInstructions answer = report(HALF, List.of(runningTask(0), runningTask(1)));
            assertThat(answer.starts()).isEmpty();
        }

        @Test
        void getOnlyTheRepeatedStartsThatFit() {
            accept("j1", JobFixtures.step(4, List.of()));
            startAll(W1);
            assertThat(report(W1).starts()).hasSize(4);
            now += TimeUnit.SECONDS.toNanos(4);
            assertThat(report(HALF, List.of()).starts()).hasSize(2);
        }

        @Test
        void leaveStartsThatWereNeverSentToOtherWorkers() {
            accept("j1", JobFixtures.step(4, List.of()));
            startAll(W1);
            report(W22);
            report(HALF, List.of());
            commit(plan());
            commit(plan());
            assertThat(table.runsOn(W1)).hasSize(2);
            assertThat(table.runsOn(W22)).hasSize(2);
        }

        private WorkerInstructions report(Resources capacity, List<RunningTask> running, EndedRun... ended) {
            return scheduler
                    .report(JobFixtures.report(W1, ++sequence, capacity, running, List.of(ended)), now)
                    .orElseThrow();
        }

        private WorkerInstructions report(WorkerIncarnation worker) {
            return JobSchedulerTests.this.report(worker);
        }

        private WorkerInstructions report(WorkerIncarnation worker, RunningTask running) {
            return JobSchedulerTests.this.report(worker, running);
        }

        private List<RunKey> runsOf(String job) {
            return table.runsOn(W1).stream()
                    .filter(run -> run.task().job().equals(JobId.of(job)))
                    .toList();
        }

        private static RunningTask runningTask(int task) {
            return running("j1", task, 1, 10);
        }

        private static EndedRun completed(long number, int task) {
            return ended(number, "j1", task, 1, ReportedEnd.COMPLETED);
        }
    }

    /** Guards against a gang without a place that keeps all jobs behind it waiting. */
    @Nested
    class GangsWithoutAPlace {
        @Test
        void leaveTheirCapacityToTheJobsBehindThem() {
            accept("g1", JobFixtures.gang(5, 1000));
            accept("j1", JobFixtures.step(4, List.of()));
            startAll(W1);
            assertThat(table.runsOn(W1)).hasSize(4);
        }

        @Test
        void areReportedAsWaiting() {
            accept("g1", JobFixtures.gang(5, 1000));
            startAll(W1);
            now += TimeUnit.SECONDS.toNanos(5);
            startAll(W1);
            assertThat(waits).contains("g1 NO_CAPACITY");
        }

        @Test
        void startOnceAllTheirMembersFit() {
            accept("g1", JobFixtures.gang(5, 1000));
            startAll(W1);
            startAll(W22);
            assertThat(table.runsOn(W1).size() + table.runsOn(W22).size()).isEqualTo(5);
        }
    }

    /** Guards against a completed gang that starts again since a worker was lost before it reported the completion. */
    @Nested
    class GangsThatCompleteAfterTheLossOfAWorker {
        @BeforeEach
        void startGang() {
            accept("g1", JobFixtures.gang(2, 3000), JobFixtures.step(1, List.of(0)));
            report(W1);
            report(W22);
            commit(plan());
            assertThat(table.runsOn(W1)).hasSize(1);
            assertThat(table.runsOn(W22)).hasSize(1);
        }

        @Test
        void doNotStartAgainAfterACrash() {
            replace(W1);
            commit(plan());
            assertCompletesWithTheReportOf(W22);
        }

        @Test
        void doNotStartAgainAfterACrashOfTheOtherWorker() {
            replace(W22);
            commit(plan());
            assertCompletesWithTheReportOf(W1);
        }

        @Test
        void doNotStartAgainAfterTheEndOfALease() {
            RunKey run = runOn(W22);
            now += TimeUnit.MILLISECONDS.toNanos(9000);
            report(W22, running("g1", run.task().index(), 1, 50));
            now += TimeUnit.MILLISECONDS.toNanos(1600);
            commit(plan());
            assertThat(table.runsOn(W1)).isEmpty();
            assertCompletesWithTheReportOf(W22);
        }

        @Test
        void doNotStartAgainAfterALossThatAnEarlierSchedulerCommitted() {
            replace(W1);
            commit(plan());
            scheduler = newScheduler();
            acquire();
            assertCompletesWithTheReportOf(W22);
        }

        @Test
        void doNotStartAgainIfTheSchedulerChangesBeforeTheLossIsCommitted() {
            scheduler = newScheduler();
            acquire();
            replace(W1);
            report(JobFixtures.incarnation("w1", 2));
            commit(plan());
            assertCompletesWithTheReportOf(W22);
        }

        @Test
        void doNotStartAgainIfTheLossIsCommittedWithTheReport() {
            replace(W1);
            assertCompletesWithTheReportOf(W22);
        }

        private void assertCompletesWithTheReportOf(WorkerIncarnation worker) {
            EndedRun end = new EndedRun(1, runOn(worker), ReportedEnd.COMPLETED, "");
            report(worker, end);
            commit(plan());
            assertThat(report(worker, end).acknowledged()).isEqualTo(1);
            commit(plan());
            StepRecord gang =
                    table.find(JobId.of("g1")).orElseThrow().step(runOfStep(0).task());
            assertThat(gang.completed()).isTrue();
            assertThat(gang.liveRuns()).isEqualTo(0);
            assertThat(runOn(worker)).isEqualTo(runOfStep(1));
        }

        private RunKey runOfStep(int step) {
            return JobFixtures.run("g1", step, 0, 1);
        }

        private RunKey runOn(WorkerIncarnation worker) {
            return table.runsOn(worker).iterator().next();
        }
    }

    /** Guards against unproven workers that get no tasks since starts without an end are counted against them. */
    @Nested
    class StartsOnUnprovenWorkers {
        @Test
        void areNotCountedIfTheirJobWasCanceledBeforeTheirCommit() {
            report(W1);
            for (String job : List.of("j1", "j2")) {
                accept(job, JobFixtures.step(4, List.of()));
                List<JobTransition> plan = plan();
                table.apply(++index, new JobCommand.Cancel(JobId.of(job)));
                commit(plan);
            }
            accept("j3", JobFixtures.step(4, List.of()));
            commit(plan());
            assertThat(table.runsOn(W1)).hasSize(4);
        }

        @Test
        void areNotCountedAfterTheirGangHasCompleted() {
            report(W1);
            report(W22);
            for (int gang = 1; gang <= 2; gang++) {
                accept("g" + gang, JobFixtures.gang(8, 1000));
                commit(plan());
                int member = table.runsOn(W1).iterator().next().task().index();
                report(W1, ended(gang, "g" + gang, member, 1, ReportedEnd.COMPLETED));
                commit(plan());
            }
            report(W1);
            accept("g3", JobFixtures.gang(8, 1000));
            commit(plan());
            assertThat(table.runsOn(W22)).hasSize(4);
        }
    }

    /** Guards against idle workers that are kept from waiting jobs since long tasks on them prove nothing. */
    @Nested
    class LongTasksOnUnprovenWorkers {
        private static final int AT_FIRST = 5;

        private void acceptLong() {
            accept("long", JobFixtures.step(20, List.of(), false, false, 0, 100));
        }

        private void acceptSmall(String job) {
            accept(job, JobFixtures.step(2, List.of(), false, false, 0, 100));
        }

        /** Lets the runs on a worker run for a while, with the given progress between its reports. */
        private void run(WorkerIncarnation worker, int percentPerReport) {
            for (int report = 1; report <= 12; report++) {
                now += TimeUnit.MILLISECONDS.toNanos(200);
                int percent = report * percentPerReport;
                List<RunningTask> running = table.runsOn(worker).stream()
                        .map(each -> new RunningTask(each, "", percent, 0))
                        .toList();
                Optional<WorkerInstructions> unused =
                        scheduler.report(JobFixtures.report(worker, ++sequence, running, List.of()), now);
                commit(plan());
            }
        }

        private int runsOf(String job) {
            return table.find(JobId.of(job)).orElseThrow().liveRuns();
        }

        @Test
        void leaveRoomForOthersOnceTheyHaveRunForAWhile() {
            acceptLong();
            startAll(W1);
            assertThat(runsOf("long")).isEqualTo(AT_FIRST);
            run(W1, 1);
            assertThat(runsOf("long")).isEqualTo(2 * AT_FIRST);
        }

        @Test
        void leaveRoomForOthersAfterAChangeOfTheScheduler() {
            accept("j1", JobFixtures.step(1, List.of()));
            startAll(W1);
            report(W1, ended(1, "j1", 0, 1, ReportedEnd.COMPLETED));
            commit(plan());
            scheduler = newScheduler();
            acquire();
            acceptLong();
            startAll(W1);
            assertThat(runsOf("long")).isEqualTo(AT_FIRST);
            acceptSmall("small");
            run(W1, 1);
            assertThat(runsOf("long") + runsOf("small")).isEqualTo(2 * AT_FIRST);
        }

        @Test
        void leaveRoomForOthersAfterAFailure() {
            accept("j1", JobFixtures.step(1, List.of()));
            startAll(W1);
            report(W1, ended(1, "j1", 0, 1, ReportedEnd.FAILED));
            table.apply(++index, new JobCommand.Cancel(JobId.of("j1")));
            acceptLong();
            commit(plan());
            assertThat(runsOf("long")).isEqualTo(AT_FIRST - 1);
            run(W1, 1);
            assertThat(runsOf("long")).isEqualTo(2 * (AT_FIRST - 1));
        }

        @Test
        void leaveNoRoomForOthersWithoutProgress() {
            acceptLong();
            startAll(W1);
            run(W1, 0);
            assertThat(runsOf("long")).isEqualTo(AT_FIRST);
        }

        /** Guards against a worker that gets ever more tasks since they run for a while before they fail. */
        @Test
        void leaveNoRoomForOthersOnceTheyFail() {
            acceptLong();
            startAll(W1);
            List<RunKey> first = List.copyOf(table.runsOn(W1));
            run(W1, 1);
            assertThat(table.runsOn(W1)).hasSize(2 * AT_FIRST);
            List<EndedRun> ends = new ArrayList<>();
            for (RunKey failed : first) {
                ends.add(new EndedRun(ends.size() + 1, failed, ReportedEnd.FAILED, ""));
            }
            Optional<WorkerInstructions> unused =
                    scheduler.report(JobFixtures.report(W1, ++sequence, List.of(), ends), now);
            commit(plan());
            commit(plan());
            assertThat(table.runsOn(W1)).hasSize(AT_FIRST);
            run(W1, 0);
            assertThat(table.runsOn(W1)).hasSize(AT_FIRST);
        }

        @Test
        void leaveRoomForATaskOfEachJobThatWouldRunNowhere() {
            acceptLong();
            startAll(W1);
            acceptSmall("small");
            acceptSmall("other");
            commit(plan());
            assertThat(runsOf("small") + runsOf("other")).isEqualTo(0);
            run(W1, 0);
            assertThat(runsOf("small")).isEqualTo(1);
            assertThat(runsOf("other")).isEqualTo(1);
            assertThat(runsOf("long")).isEqualTo(AT_FIRST);
        }

        /** Guards against a worker on which everything fails and which gets the jobs that run nowhere else. */
        @Test
        void leaveNoRoomOnAWorkerThatIsQuarantined() {
            for (String job : List.of("f1", "f2", "f3")) {
                accept(job, JobFixtures.step(1, List.of(), false, false, 0, 100));
            }
            startAll(W1);
            int number = 0;
            for (RunKey failed : List.copyOf(table.runsOn(W1))) {
                report(W1, new EndedRun(++number, failed, ReportedEnd.FAILED, ""));
                commit(plan());
            }
            acceptSmall("small");
            assertThat(quarantines).isNotEmpty();
            run(W1, 0);
            assertThat(runsOf("small")).isEqualTo(0);
        }
    }

    /** Guards against lasting tasks that are never started again, and jobs that end, once a run has completed. */
    @Nested
    class LastingTasksThatComplete {
        private static final JobStep LASTING = JobFixtures.step(1, List.of(), true, false, 0);

        @Test
        void startAgain() {
            accept("s1", LASTING);
            startAll(W1);
            report(W1, ended(1, "s1", 0, 1, ReportedEnd.COMPLETED));
            commit(plan());
            assertThat(state("s1")).isEqualTo(JobState.RUNNING);
            commit(plan());
            assertThat(table.runsOn(W1)).containsExactly(JobFixtures.run("s1", 0, 0, 2));
        }

        @Test
        void startAgainHoweverOftenTheyComplete() {
            accept("s1", LASTING);
            startAll(W1);
            for (int attempt = 1; attempt <= 10; attempt++) {
                now += TimeUnit.SECONDS.toNanos(4);
                report(W1, ended(attempt, "s1", 0, attempt, ReportedEnd.COMPLETED));
                commit(plan());
                commit(plan());
            }
            assertThat(state("s1")).isEqualTo(JobState.RUNNING);
            assertThat(table.runsOn(W1)).containsExactly(JobFixtures.run("s1", 0, 0, 11));
        }

        @Test
        void startAgainAfterAChangeOfTheScheduler() {
            accept("s1", LASTING);
            startAll(W1);
            report(W1, ended(1, "s1", 0, 1, ReportedEnd.COMPLETED));
            commit(plan());
            scheduler = newScheduler();
            acquire();
            startAll(W1);
            assertThat(table.runsOn(W1)).containsExactly(JobFixtures.run("s1", 0, 0, 2));
        }

        @Test
        void startAgainBesideFiniteTasksThatAreDone() {
            accept("s1", LASTING, JobFixtures.step(1, List.of()));
            startAll(W1);
            report(W1, new EndedRun(1, JobFixtures.run("s1", 1, 0, 1), ReportedEnd.COMPLETED, ""));
            commit(plan());
            report(W1, ended(2, "s1", 0, 1, ReportedEnd.COMPLETED));
            commit(plan());
            commit(plan());
            assertThat(state("s1")).isEqualTo(JobState.RUNNING);
            assertThat(table.runsOn(W1)).containsExactly(JobFixtures.run("s1", 0, 0, 2));
        }

        @Test
        void doNotStartAgainOnceTheJobIsCanceled() {
            accept("s1", LASTING);
            startAll(W1);
            report(W1, ended(1, "s1", 0, 1, ReportedEnd.COMPLETED));
            commit(plan());
            table.apply(++index, new JobCommand.Cancel(JobId.of("s1")));
            commit(plan());
            assertThat(state("s1")).isEqualTo(JobState.CANCELED);
            assertThat(table.runsOn(W1)).isEmpty();
        }

        @Test
        void areNoLongerSuspectedToCrashTheirWorkers() {
            accept("s1", LASTING);
            startAll(W1);
            commitEnd(1, RunEnd.WORKER_CRASHED);
            startAll(W1);
            report(W1, ended(1, "s1", 0, 2, ReportedEnd.COMPLETED));
            commit(plan());
            TaskRecord task = table.find(JobId.of("s1")).orElseThrow().task(task());
            assertThat(task.suspect()).isFalse();
        }

        @Test
        void startAgainAsAGangOnceAllMembersHaveEnded() {
            accept("g1", JobFixtures.lastingGang(2, 3000));
            report(W1);
            startAll(W22);
            int first = table.runsOn(W1).iterator().next().task().index();
            report(W1, ended(1, "g1", first, 1, ReportedEnd.COMPLETED));
            commit(plan());
            commit(plan());
            assertThat(table.runsOn(W1)).isEmpty();
            report(W22, ended(1, "g1", 1 - first, 1, ReportedEnd.COMPLETED));
            commit(plan());
            commit(plan());
            assertThat(state("g1")).isEqualTo(JobState.RUNNING);
            assertThat(table.find(JobId.of("g1")).orElseThrow().liveRuns()).isEqualTo(2);
        }

        @Test
        void startAgainIfAnEarlierVersionHasCompletedThem() {
            accept("s1", JobFixtures.step(2, List.of(), true, false, 0));
            startAll(W1);
            commitEnd(1, RunEnd.COMPLETED);
            startAll(W1);
            assertThat(table.runsOn(W1))
                    .containsExactly(JobFixtures.run("s1", 0, 0, 2), JobFixtures.run("s1", 0, 1, 1));
        }

        private void commitEnd(int attempt, RunEnd end) {
            commit(List.of(new JobTransition.Ended(new RunKey(task(), attempt), end, "")));
        }

        private static TaskKey task() {
            return JobFixtures.run("s1", 0, 0, 1).task();
        }
    }

    /** Guards against idle workers that are quarantined for one lasting task that fails wherever it runs. */
    @Nested
    class OneLastingTaskThatKeepsFailing {
        private static final WorkerIncarnation W333 = JobFixtures.incarnation("w333", 1);

        @Test
        void leavesItsWorkersToOtherJobs() {
            accept("s1", JobFixtures.step(2, List.of(), true, false, 0, 3000));
            report(W1);
            report(W22);
            report(W333);
            commit(plan());
            report(workerOf(0), running("s1", 0, 1, 100));
            for (int attempt = 1; attempt <= 20; attempt++) {
                EndedRun end = ended(attempt, "s1", 1, attempt, ReportedEnd.FAILED);
                WorkerIncarnation worker = workerOf(1);
                report(worker, end);
                commit(plan());
                now += TimeUnit.SECONDS.toNanos(4);
                report(W1);
                report(W22);
                report(W333);
                commit(plan());
            }
            accept("j1", JobFixtures.step(1, List.of(), false, false, 0, 4000));
            commit(plan());
            assertThat(state("j1")).isEqualTo(JobState.RUNNING);
        }

        private WorkerIncarnation workerOf(int task) {
            TaskKey key = JobFixtures.run("s1", 0, task, 1).task();
            JobRecord job = table.find(JobId.of("s1")).orElseThrow();
            assertThat(job.task(key).liveRuns()).hasSize(1);
            return job.task(key).liveRuns().get(0).worker();
        }
    }

    /** Guards against a count of queued jobs that leaves out those assigned to a worker that never starts them. */
    @Nested
    class CountingQueuedJobs {
        @BeforeEach
        void assign() {
            accept("j1", JobFixtures.step(1, List.of()));
            startAll(W1);
            assertThat(table.runsOn(W1)).hasSize(1);
        }

        @Test
        void countsAJobUntilAWorkerListsItsRun() {
            assertThat(queued()).isEqualTo(1);
            report(W1, running("j1", 0, 1, 0));
            now += TimeUnit.SECONDS.toNanos(1);
            commit(plan());
            assertThat(queued()).isEqualTo(0);
            assertThat(job("j1").visibleState()).isEqualTo(JobState.RUNNING);
        }

        /** Guards against a commit of its own for each job that begins. */
        @Test
        void recordsABegunJobWithTheNextPlan() {
            report(W1, running("j1", 0, 1, 0));
            assertThat(plan()).isEmpty();
            accept("j2", JobFixtures.step(1, List.of()));
            List<JobTransition> plan = plan();
            assertThat(plan).hasSize(2);
            commit(plan);
            assertThat(queued()).isEqualTo(1);
        }

        @Test
        void countsAJobWhoseWorkerIsLost() {
            now += TimeUnit.SECONDS.toNanos(11);
            commit(plan());
            assertThat(table.runsOn(W1)).isEmpty();
            assertThat(queued()).isEqualTo(1);
        }

        @Test
        void countsAJobWhoseRunIsRefused() {
            report(W1, ended(1, "j1", 0, 1, ReportedEnd.REFUSED));
            commit(plan());
            assertThat(queued()).isEqualTo(1);
        }

        @ParameterizedTest
        @EnumSource(
                value = ReportedEnd.class,
                names = {"COMPLETED", "FAILED", "STOPPED", "LEASE_EXPIRED"})
        void doesNotCountAJobWhoseRunEndedBeforeItWasListed(ReportedEnd how) {
            report(W1, ended(1, "j1", 0, 1, how));
            commit(plan());
            assertThat(queued()).isEqualTo(0);
        }

        @Test
        void doesNotCountAJobOnceItHasBegunUnderAnEarlierScheduler() {
            report(W1, running("j1", 0, 1, 0));
            now += TimeUnit.SECONDS.toNanos(1);
            commit(plan());
            scheduler = newScheduler();
            acquire();
            now += TimeUnit.SECONDS.toNanos(30);
            commit(plan());
            assertThat(table.runsOn(W1)).isEmpty();
            assertThat(queued()).isEqualTo(0);
        }

        @Test
        void learnsFromTheReportsToANewSchedulerThatAJobHasBegun() {
            scheduler = newScheduler();
            acquire();
            report(W1, running("j1", 0, 1, 0));
            now += TimeUnit.SECONDS.toNanos(1);
            commit(plan());
            assertThat(queued()).isEqualTo(0);
        }

        private int queued() {
            return table.queued(JobFixtures.TERMS.jobClass());
        }
    }

    /** Guards against room that is kept for runs that no worker has, unseen. */
    @Nested
    class MeasuringUnlistedRoom {
        @BeforeEach
        void assign() {
            accept("j1", JobFixtures.step(2, List.of()));
            startAll(W1);
        }

        @Test
        void leavesOutRunsThatWereJustStarted() {
            report(W1);
            pass(2900);
            report(W1);
            assertThat(scheduler.unlistedMillicores(now)).isEqualTo(0);
        }

        @Test
        void countsRunsThatTheReportsLackForThreeSecondsUntilTheyAreListed() {
            report(W1);
            pass(3000);
            report(W1, running("j1", 0, 1, 10));
            assertThat(scheduler.unlistedMillicores(now)).isEqualTo(1000);
            report(W1, ended(1, "j1", 1, 1, ReportedEnd.REFUSED));
            assertThat(scheduler.unlistedMillicores(now)).isEqualTo(0);
        }

        @Test
        void countsTheRunsOfSilentWorkersUntilTheirLeaseHasExpired() {
            report(W1, running("j1", 0, 1, 10));
            pass(3001);
            assertThat(scheduler.unlistedMillicores(now)).isEqualTo(2000);
            pass(8000);
            commit(plan());
            assertThat(scheduler.unlistedMillicores(now)).isEqualTo(0);
        }

        @Test
        void countsTheRunsOfWorkersThatANewSchedulerHasNotHeardOf() {
            scheduler = newScheduler();
            acquire();
            assertThat(scheduler.unlistedMillicores(now)).isEqualTo(0);
            pass(3000);
            assertThat(scheduler.unlistedMillicores(now)).isEqualTo(2000);
        }

        private void pass(long millis) {
            now += TimeUnit.MILLISECONDS.toNanos(millis);
        }
    }

    /** Guards against a fleet of which most workers are quarantined. */
    @Nested
    class WorkersOnWhichEverythingFails {
        private static final int WORKERS = 6;

        private final List<WorkerIncarnation> fleet = new ArrayList<>();

        @Test
        void areQuarantinedUpToAThirdOfTheService() {
            for (int i = 0; i < WORKERS; i++) {
                fleet.add(JobFixtures.incarnation("w" + "x".repeat(i), 1));
            }
            for (int i = 0; i < 2 * WORKERS; i++) {
                accept("j" + i, JobFixtures.step(2, List.of()));
            }
            fleet.forEach(JobSchedulerTests.this::report);
            commit(plan());
            for (WorkerIncarnation worker : fleet) {
                failAll(worker);
            }
            assertThat(quarantines).containsExactly("w", "wx");
            assertThat(refusedQuarantines).containsAnyOf("wxx", "wxxx", "wxxxx", "wxxxxx");
        }

        private void failAll(WorkerIncarnation worker) {
            long number = 0;
            List<EndedRun> ends = new ArrayList<>();
            for (RunKey run : table.runsOn(worker)) {
                ends.add(new EndedRun(++number, run, ReportedEnd.FAILED, ""));
            }
            scheduler.report(JobFixtures.report(worker, ++sequence, List.of(), ends), now);
            commit(plan());
        }
    }

    /** Guards against a lasting task that is started several times a second, as its runs end soon after each start. */
    @Nested
    class LastingTasksWhoseRunsAreShort {
        private int attempt = 1;

        @BeforeEach
        void start() {
            accept("s1", JobFixtures.step(1, List.of(), true, false, 0, 4000));
            startOnBothWorkers();
        }

        @ParameterizedTest
        @EnumSource(
                value = ReportedEnd.class,
                names = {"FAILED", "COMPLETED"})
        void startAtOnceTwiceAndThenAtGrowingIntervalsUpToFourSeconds(ReportedEnd how) {
            assertThat(List.of(pauseMillis(how), pauseMillis(how))).containsExactly(0, 0);
            assertThat(List.of(
                            pauseMillis(how), pauseMillis(how), pauseMillis(how), pauseMillis(how), pauseMillis(how)))
                    .containsExactly(400, 900, 1900, 3900, 3900)
                    .inOrder();
        }

        @Test
        void startAtOnceAfterALongRun() {
            for (int run = 0; run < 5; run++) {
                pauseMillis(ReportedEnd.FAILED);
            }
            now += TimeUnit.SECONDS.toNanos(4);
            assertThat(pauseMillis(ReportedEnd.FAILED)).isEqualTo(0);
            assertThat(pauseMillis(ReportedEnd.FAILED)).isEqualTo(0);
        }

        @Test
        void takeNoCapacityDuringAPause() {
            for (int run = 0; run < 5; run++) {
                pauseMillis(ReportedEnd.FAILED);
            }
            endRun(ReportedEnd.FAILED);
            accept("j1", JobFixtures.step(2, List.of(), false, false, 0, 4000));
            commit(plan());
            assertThat(job("j1").liveRuns()).isEqualTo(2);
        }

        @Test
        void startAtOnceAfterAnInterruption() {
            for (int run = 0; run < 5; run++) {
                assertThat(pauseMillis(ReportedEnd.STOPPED)).isEqualTo(0);
            }
        }

        @Test
        void startAgainAsAGangAfterAPause() {
            table.apply(++index, new JobCommand.Cancel(JobId.of("s1")));
            endRun(ReportedEnd.STOPPED);
            accept("g1", JobFixtures.lastingGang(2, 3000));
            startOnBothWorkers();
            for (int run = 1; run <= 3; run++) {
                for (WorkerIncarnation worker : List.of(W1, W22)) {
                    RunKey member = table.runsOn(worker).iterator().next();
                    report(worker, new EndedRun(100 + run, member, ReportedEnd.COMPLETED, ""));
                }
                commit(plan());
                commit(plan());
            }
            assertThat(job("g1").liveRuns()).isEqualTo(0);
            now += TimeUnit.MILLISECONDS.toNanos(500);
            startOnBothWorkers();
            assertThat(job("g1").liveRuns()).isEqualTo(2);
        }

        private void startOnBothWorkers() {
            report(W1);
            report(W22);
            commit(plan());
        }

        /** Ends the run 100 ms after its start, and returns how long the next start takes, in steps of 100 ms. */
        private int pauseMillis(ReportedEnd how) {
            endRun(how);
            int millis = 0;
            while (job("s1").liveRuns() == 0 && millis < 10_000) {
                now += TimeUnit.MILLISECONDS.toNanos(100);
                millis += 100;
                startOnBothWorkers();
            }
            return millis;
        }

        private void endRun(ReportedEnd how) {
            now += TimeUnit.MILLISECONDS.toNanos(100);
            RunKey run = JobFixtures.run("s1", 0, 0, attempt);
            WorkerIncarnation worker = table.isLive(W1, run) ? W1 : W22;
            report(worker, new EndedRun(attempt, run, how, ""));
            attempt++;
            commit(plan());
            commit(plan());
        }
    }

    @Nested
    class RestartingLastingTasks {
        @Test
        void precedesJobsThatCanStillMeetTheirObjective() {
            accept("s1", JobFixtures.step(1, List.of(), true, false, 100, 4000));
            startAll(W1);
            table.apply(++index, JobFixtures.acceptAt("j1", 3_600_000, JobFixtures.step(4, List.of())));
            report(W1, ended(1, "s1", 0, 1, ReportedEnd.FAILED));
            commit(scheduler.plan(now, 3_600_000));
            commit(scheduler.plan(now, 3_600_000));
            assertThat(table.runsOn(W1)).containsExactly(JobFixtures.run("s1", 0, 0, 2));
        }

        @Test
        void precedesLastingTasksThatNeverRan() {
            accept("s0", JobFixtures.step(2, List.of(), true, false, 100, 1500));
            accept("s1", JobFixtures.step(1, List.of(), true, false, 100, 1000));
            startAll(W1);
            accept("s2", JobFixtures.step(1, List.of(), true, false, 100, 4000));
            table.apply(
                    ++index, JobFixtures.acceptAt("s3", -1, JobFixtures.step(1, List.of(), true, false, 100, 1000)));
            report(W1, ended(1, "s1", 0, 1, ReportedEnd.FAILED));
            commit(plan());
            commit(plan());
            assertThat(table.runsOn(W1)).contains(JobFixtures.run("s1", 0, 0, 2));
        }

        @Test
        void reservesCapacityWhileFiniteTasksRun() {
            accept("s1", JobFixtures.step(1, List.of(), true, false, 100, 2000));
            startAll(W22);
            accept("j1", JobFixtures.step(4, List.of()));
            accept("j2", JobFixtures.step(4, List.of()));
            startAll(W1);
            replace(W22);
            commit(plan());
            report(W1, ended(1, "j1", 0, 1, ReportedEnd.COMPLETED));
            commit(plan());
            commit(plan());
            report(W1, ended(2, "j1", 1, 1, ReportedEnd.COMPLETED));
            commit(plan());
            commit(plan());
            assertThat(table.runsOn(W1)).contains(JobFixtures.run("s1", 0, 0, 2));
        }
    }

    @Nested
    class ReservingForLastingTasksThatStartAgain {
        private static final WorkerIncarnation LEAVING = JobFixtures.incarnation("leaving", 1);
        private static final Resources LEAVING_CAPACITY = Resources.of(8000, 100_000, 1);
        private static final Resources WITH_ACCELERATOR = Resources.of(4000, 100_000, 1);

        /** Guards against a reservation on a worker whose memory other lasting tasks keep. */
        @Test
        void gathersRoomWhereMemoryBecomesFree() {
            runOnLeavingWorker(JobFixtures.lasting(Resources.of(2000, 1000, 0)));
            accept("m1", JobFixtures.lasting(Resources.of(1000, 99_500, 0)));
            startAll(W1);
            accept("j1", JobFixtures.finite(8, Resources.of(1000, 1000, 0)));
            startAll(W22);
            loseLeavingWorker();
            for (int task = 0; task < 4; task++) {
                end(W22, 1 + task, "j1", task);
            }
            assertThat(table.runsOn(W22)).contains(JobFixtures.run("s0", 0, 0, 2));
        }

        /** Guards against a reservation that keeps other tasks off a worker that never gets an accelerator. */
        @Test
        void leavesRoomWhereNoAcceleratorBecomesFree() {
            runOnLeavingWorker(
                    JobFixtures.lasting(Resources.of(2000, 1000, 1)), JobFixtures.lasting(Resources.of(3000, 1000, 0)));
            accept("j1", JobFixtures.finite(1, Resources.of(2500, 1000, 1)));
            reportCapacity(W22, WITH_ACCELERATOR);
            commit(plan());
            report(W1);
            loseLeavingWorker();
            assertThat(table.runsOn(W1)).containsExactly(JobFixtures.run("s1", 0, 0, 2));
            reportCapacity(W22, WITH_ACCELERATOR, ended(1, "j1", 0, 1, ReportedEnd.COMPLETED));
            commit(plan());
            commit(plan());
            assertThat(table.runsOn(W22)).containsExactly(JobFixtures.run("s0", 0, 0, 2));
        }

        /** Guards against a reservation that leaves a worker on which most of the memory has become free. */
        @Test
        void keepsGatheringMemoryWhereAnotherWorkerGetsMoreProcessorTimeFree() {
            runOnLeavingWorker(JobFixtures.lasting(Resources.of(1000, 60_000, 0)));
            accept("j1", JobFixtures.finite(2, Resources.of(1000, 50_000, 0)));
            startAll(W1);
            accept("b1", JobFixtures.bestEffort(Resources.of(1000, 100_000, 0)));
            accept("j2", JobFixtures.finite(1, Resources.of(3000, 0, 0)));
            startAll(W22);
            accept("j3", JobFixtures.finite(4, Resources.of(1000, 50_000, 0)));
            loseLeavingWorker();
            end(W1, 1, "j1", 0);
            end(W22, 1, "j2", 0);
            end(W1, 2, "j1", 1);
            assertThat(table.runsOn(W1)).containsExactly(JobFixtures.run("s0", 0, 0, 2));
        }

        /** Runs a job for each step on a worker that gets no further tasks. */
        private void runOnLeavingWorker(JobStep... steps) {
            for (int job = 0; job < steps.length; job++) {
                accept("s" + job, steps[job]);
            }
            reportCapacity(LEAVING, LEAVING_CAPACITY);
            commit(plan());
            assertThat(table.runsOn(LEAVING)).hasSize(steps.length);
            scheduler.workerLeft(LEAVING);
        }

        /** Ends the runs of the leaving worker and plans their replacement. */
        private void loseLeavingWorker() {
            replace(LEAVING);
            commit(plan());
            commit(plan());
            assertThat(table.runsOn(LEAVING)).isEmpty();
        }

        /** Ends the first run of a task and plans twice. */
        private void end(WorkerIncarnation worker, int number, String job, int task) {
            report(worker, ended(number, job, task, 1, ReportedEnd.COMPLETED));
            commit(plan());
            commit(plan());
        }

        private void reportCapacity(WorkerIncarnation worker, Resources capacity, EndedRun... ended) {
            String address = JobFixtures.report(worker, 0, List.of(), List.of()).address();
            WorkerReport report =
                    JobFixtures.report(worker, ++sequence, address, capacity, false, List.of(), List.of(ended));
            assertThat(scheduler.report(report, now)).isNotEqualTo(Optional.empty());
        }
    }

    @Nested
    class ReportingWaits {
        private final List<FreeCapacity> closestWorkers = new ArrayList<>();

        @Test
        void namesTheFreeCapacityOfTheWorkerThatLacksLeast() {
            scheduler = JobScheduler.of(table, TIMES, services::contains, new SilentListener() {
                @Override
                public void waiting(JobRecord job, int step, WaitReason reason, Optional<FreeCapacity> closest) {
                    closest.ifPresent(closestWorkers::add);
                }
            });
            scheduler.takeOver(now);
            accept("m1", JobFixtures.lasting(Resources.of(1000, 90_000, 0)));
            startAll(W1);
            accept("m2", JobFixtures.lasting(Resources.of(3000, 20_000, 0)));
            startAll(W22);
            accept("j1", JobFixtures.finite(1, Resources.of(2000, 50_000, 0)));
            startAll(W1);
            now += TimeUnit.SECONDS.toNanos(1);
            startAll(W22);
            assertThat(closestWorkers).containsExactly(new FreeCapacity(W22.worker(), Resources.of(1000, 80_000, 0)));
        }
    }

    @Nested
    class StartingBestEffortTasks {
        @Test
        void startsOneRunPerJobBesideServingTasksNearTheirTargetWhileMostCapacityIsFree() {
            reportTailLatency(84);
            accept("b1", JobFixtures.step(3, List.of(), false, true, 0));
            commit(plan());
            assertThat(table.runsOn(W1))
                    .containsExactly(JobFixtures.run("s1", 0, 0, 1), JobFixtures.run("b1", 0, 0, 1));
        }

        @Test
        void startsNoneBesideServingTasksOverTheirTarget() {
            reportTailLatency(110);
            accept("b1", JobFixtures.step(3, List.of(), false, true, 0));
            commit(plan());
            assertThat(table.runsOn(W1)).containsExactly(JobFixtures.run("s1", 0, 0, 1));
        }

        @Test
        void startsNoneBesideServingTasksNearTheirTargetWhileLittleCapacityIsFree() {
            accept("j1", JobFixtures.step(2, List.of()));
            reportTailLatency(84);
            accept("b1", JobFixtures.step(3, List.of(), false, true, 0));
            commit(plan());
            assertThat(table.runsOn(W1)).doesNotContain(JobFixtures.run("b1", 0, 0, 1));
        }

        @Test
        void startsNoMoreDisturbingTasksAtOnceThanTheServingTaskToleratesTogether() {
            scheduler.adoptInterference(List.of(new PairEstimate("serving", "batch", 0.1, 0.0005)), now);
            reportTailLatency(50);
            accept("b1", JobFixtures.step(3, List.of(), false, true, 0));
            commit(plan());
            commit(plan());
            assertThat(table.runsOn(W1))
                    .containsExactly(JobFixtures.run("s1", 0, 0, 1), JobFixtures.run("b1", 0, 0, 1));
        }

        /** Reports a tail latency of a serving task with a target of 100 ms, ten times at intervals of 300 ms. */
        private void reportTailLatency(long tailMillis) {
            accept("s1", JobFixtures.step(1, List.of(), true, false, 100));
            startAll(W1);
            for (int i = 0; i < 10; i++) {
                now += TimeUnit.MILLISECONDS.toNanos(300);
                report(W1, new RunningTask(JobFixtures.run("s1", 0, 0, 1), "", 100, tailMillis));
            }
        }
    }

    @Nested
    class TakingOverAgain {
        @Test
        void assignsAsManyTasksAsBefore() {
            for (String job : List.of("j1", "j2", "j3")) {
                accept(job, JobFixtures.step(4, List.of()));
                startAll(W1);
                assertThat(table.runsOn(W1)).hasSize(4);
                endAllByAnotherScheduler(job);
                table.apply(++index, new JobCommand.Acquire(HostId.of("h1")));
                scheduler.takeOver(now);
            }
        }

        private void endAllByAnotherScheduler(String job) {
            table.apply(++index, new JobCommand.Acquire(HostId.of("h2")));
            List<JobTransition> ends = new ArrayList<>();
            for (int task = 0; task < 4; task++) {
                ends.add(new JobTransition.Ended(JobFixtures.run(job, 0, task, 1), RunEnd.COMPLETED, ""));
            }
            commit(ends);
        }
    }

    @Nested
    class ReturningWorkers {
        @Test
        void getAsManyTasksAsBefore() {
            for (String job : List.of("j1", "j2", "j3")) {
                accept(job, JobFixtures.step(4, List.of()));
                startAll(W1);
                assertThat(table.runsOn(W1)).hasSize(4);
                table.apply(++index, new JobCommand.Cancel(JobId.of(job)));
                now += TimeUnit.SECONDS.toNanos(20);
                commit(plan());
            }
        }
    }

    @Nested
    class ProtectingServingTasks {
        @Test
        void stopsBestEffortTasksBesideAServingTaskLongOverItsTarget() {
            accept("s1", JobFixtures.step(1, List.of(), true, false, 100));
            accept("b1", JobFixtures.step(1, List.of(), false, true, 0));
            startAll(W1);
            for (int i = 0; i < 30; i++) {
                now += TimeUnit.MILLISECONDS.toNanos(100);
                RunningTask serving = new RunningTask(JobFixtures.run("s1", 0, 0, 1), "", 100, 110);
                RunningTask batch = new RunningTask(JobFixtures.run("b1", 0, 0, 1), "", i, 0);
                scheduler.report(JobFixtures.report(W1, ++sequence, List.of(serving, batch), List.of()), now);
            }
            assertThat(stops).contains("beside-overdue-serving-task");
        }
    }

    @Nested
    class TasksThatCrashTheirWorkers {
        private static final String ADDRESS = "10.0.0.9:80";

        private int crashes;
        private WorkerIncarnation worker = JobFixtures.incarnation("c0", 1);

        @Test
        void areGivenUpAfterTheThirdCrash() {
            accept("j1", JobFixtures.step(1, List.of()));
            crashWorkers(2);
            assertThat(state("j1")).isEqualTo(JobState.RUNNING);
            crashWorkers(1);
            assertThat(state("j1")).isEqualTo(JobState.FAILED);
        }

        @Test
        void areReportedOncePerJobWhenTheyAreGivenUp() {
            accept("j1", JobFixtures.step(2, List.of()));
            crashWorkers(3);
            assertThat(givenUp).hasSize(1);
            assertThat(losses).containsExactly("restarted", "restarted", "restarted");
        }

        @Test
        void areGivenUpEvenIfTheyAreLasting() {
            accept("s1", JobFixtures.step(1, List.of(), true, false, 100));
            crashWorkers(3);
            assertThat(state("s1")).isEqualTo(JobState.FAILED);
        }

        @Test
        void areGivenUpAfterCrashesThatSeveralSchedulersSaw() {
            accept("j1", JobFixtures.step(1, List.of()));
            crashWorkers(2);
            scheduler = newScheduler();
            table.apply(++index, new JobCommand.Acquire(HostId.of("h2")));
            scheduler.takeOver(now);
            crashWorkers(1);
            assertThat(state("j1")).isEqualTo(JobState.FAILED);
        }

        @Test
        void areKnownByCrashesWithoutAnEndInBetween() {
            accept("j1", JobFixtures.step(1, List.of()));
            crashWorkers(2);
            start();
            report(ended(1, "j1", 0, 3, ReportedEnd.FAILED));
            commit(plan());
            crashWorkers(2);
            assertThat(state("j1")).isEqualTo(JobState.RUNNING);
            crashWorkers(1);
            assertThat(state("j1")).isEqualTo(JobState.FAILED);
        }

        @Test
        void areNotSuspectedWhenLeasesExpire() {
            accept("j1", JobFixtures.step(1, List.of()));
            for (int i = 0; i < 4; i++) {
                start();
                now += TimeUnit.SECONDS.toNanos(11);
                restart();
                assertThat(table.runsOn(worker)).isEmpty();
            }
            assertThat(state("j1")).isEqualTo(JobState.RUNNING);
        }

        @Test
        void areNotSuspectedWhenWorkersLeave() {
            accept("j1", JobFixtures.step(1, List.of()));
            for (int i = 0; i < 4; i++) {
                start();
                report(true, List.of(), List.of());
                restart();
            }
            assertThat(state("j1")).isEqualTo(JobState.RUNNING);
        }

        @Test
        void areNotSuspectedWhenWorkersAnnounceTheirExit() {
            accept("j1", JobFixtures.step(1, List.of()));
            for (int i = 0; i < 4; i++) {
                start();
                scheduler.workerLeft(worker);
                restart();
            }
            assertThat(state("j1")).isEqualTo(JobState.RUNNING);
        }

        @Test
        void areNotSuspectedOnceTheyHaveRunForAWhile() {
            accept("j1", JobFixtures.step(1, List.of()));
            for (int attempt = 1; attempt <= 4; attempt++) {
                start();
                report(false, List.of(running("j1", 0, attempt, 1)), List.of());
                now += TimeUnit.MILLISECONDS.toNanos(2100);
                report(false, List.of(running("j1", 0, attempt, 2)), List.of());
                restart();
            }
            assertThat(state("j1")).isEqualTo(JobState.RUNNING);
        }

        @Test
        void areNoLongerSuspectedAfterARunThatOutlivedItsStart() {
            accept("s1", JobFixtures.step(1, List.of(), true, false, 100));
            crashWorkers(2);
            start();
            report(false, List.of(running("s1", 0, 3, 1)), List.of());
            now += TimeUnit.MILLISECONDS.toNanos(2100);
            report(false, List.of(running("s1", 0, 3, 2)), List.of());
            restart();
            crashWorkers(2);
            assertThat(state("s1")).isEqualTo(JobState.RUNNING);
            crashWorkers(1);
            assertThat(state("s1")).isEqualTo(JobState.FAILED);
        }

        @Test
        void areNotSuspectedIfTheirStartWasNeverSent() {
            accept("j1", JobFixtures.step(1, List.of()));
            for (int i = 0; i < 4; i++) {
                report(false, List.of(), List.of());
                commit(plan());
                restart();
            }
            assertThat(state("j1")).isEqualTo(JobState.RUNNING);
        }

        @Test
        void areNotSuspectedIfTheirEndWasReported() {
            accept("j1", JobFixtures.step(1, List.of()));
            for (int attempt = 1; attempt <= 4; attempt++) {
                start();
                report(ended(1, "j1", 0, attempt, ReportedEnd.REFUSED));
                restart();
                now += TimeUnit.SECONDS.toNanos(1);
            }
            assertThat(state("j1")).isEqualTo(JobState.RUNNING);
        }

        @Test
        void neverShareAWorkerWithASuspectOfAnotherJob() {
            accept("j1", JobFixtures.step(1, List.of()));
            accept("j2", JobFixtures.step(1, List.of()));
            crashWorkers(1);
            accept("j3", JobFixtures.step(1, List.of()));
            start();
            assertThat(table.runsOn(worker))
                    .containsExactly(JobFixtures.run("j1", 0, 0, 2), JobFixtures.run("j3", 0, 0, 1));
            startAll(W22);
            assertThat(table.runsOn(W22)).containsExactly(JobFixtures.run("j2", 0, 0, 2));
        }

        @Test
        void mayJoinASuspectThatHasRunForAWhile() {
            accept("j1", JobFixtures.step(1, List.of()));
            accept("j2", JobFixtures.step(1, List.of()));
            crashWorkers(1);
            start();
            report(false, List.of(running("j1", 0, 2, 1)), List.of());
            now += TimeUnit.MILLISECONDS.toNanos(2100);
            report(false, List.of(running("j1", 0, 2, 2)), List.of());
            commit(plan());
            assertThat(table.runsOn(worker)).hasSize(2);
        }

        @Test
        void failNoOtherJobOnTheSameWorker() {
            accept("j1", JobFixtures.step(1, List.of()));
            accept("j2", JobFixtures.step(1, List.of()));
            for (int round = 0; round < 5; round++) {
                start();
                if (table.runsOn(worker).contains(lastRun("j1"))) {
                    restart();
                } else {
                    report(new EndedRun(1, lastRun("j2"), ReportedEnd.COMPLETED, ""));
                    commit(plan());
                }
            }
            assertThat(state("j1")).isEqualTo(JobState.FAILED);
            assertThat(state("j2")).isEqualTo(JobState.DONE);
        }

        @Test
        void keepNoOtherTaskOfTheirStepWaiting() {
            accept("j1", JobFixtures.step(1, List.of()));
            accept("j2", JobFixtures.step(5, List.of()));
            crashWorkers(1);
            start();
            assertThat(table.runsOn(worker))
                    .containsAtLeast(
                            JobFixtures.run("j1", 0, 0, 2),
                            JobFixtures.run("j2", 0, 3, 1),
                            JobFixtures.run("j2", 0, 4, 1));
        }

        @Test
        void startBesideAGangOfSuspectsWithoutAPlace() {
            accept("g1", JobFixtures.gang(3, 1000));
            accept("j1", JobFixtures.step(1, List.of()));
            crashWorkers(1);
            table.apply(++index, JobFixtures.acceptAt("j2", -1, JobFixtures.step(2, List.of())));
            start();
            assertThat(table.runsOn(worker)).contains(JobFixtures.run("j1", 0, 0, 2));
        }

        /** Lets the worker crash after it was sent the starts of all tasks that it has capacity for. */
        private void crashWorkers(int times) {
            for (int i = 0; i < times; i++) {
                start();
                restart();
            }
        }

        private void start() {
            report(false, List.of(), List.of());
            commit(plan());
            report(false, List.of(), List.of());
        }

        /** Replaces the worker by one with another id at the same address. */
        private void restart() {
            crashes++;
            worker = JobFixtures.incarnation("c" + crashes, 1 + crashes);
            report(false, List.of(), List.of());
            commit(plan());
        }

        private void report(EndedRun end) {
            report(false, List.of(), List.of(end));
        }

        private void report(boolean leaving, List<RunningTask> running, List<EndedRun> ended) {
            WorkerReport report = JobFixtures.report(worker, ++sequence, ADDRESS, leaving, running, ended);
            assertThat(scheduler.report(report, now)).isNotEqualTo(Optional.empty());
        }

        private RunKey lastRun(String job) {
            int attempts = table.find(JobId.of(job))
                    .orElseThrow()
                    .task(JobFixtures.run(job, 0, 0, 1).task())
                    .attempts();
            return JobFixtures.run(job, 0, 0, attempts);
        }
    }

    private JobState state(String job) {
        return job(job).state();
    }

    private JobRecord job(String id) {
        return table.find(JobId.of(id)).orElseThrow();
    }

    private JobScheduler newScheduler() {
        return JobScheduler.of(
                table,
                TIMES,
                services::contains,
                new RecordedEvents(stops, losses, givenUp, waits, quarantines, refusedQuarantines));
    }

    /** Lets another process hold the address of a worker, which leaves and so gets no tasks. */
    private void replace(WorkerIncarnation worker) {
        WorkerReport held = JobFixtures.report(worker, 0, List.of(), List.of());
        WorkerIncarnation successor = JobFixtures.incarnation("successor", worker.startedEpochMillis() + 1);
        scheduler.report(JobFixtures.report(successor, 1, held.address(), true, List.of(), List.of()), now);
    }

    /** Checks that the only run of a worker that reports no longer ends once its lease has certainly expired. */
    private void assertRunsEndWithTheLeaseOf(WorkerIncarnation worker) {
        now += TimeUnit.MILLISECONDS.toNanos(10_199);
        report(W22);
        commit(plan());
        assertThat(table.runsOn(worker)).hasSize(1);
        now += TimeUnit.MILLISECONDS.toNanos(400);
        commit(plan());
        assertThat(table.runsOn(worker)).isEmpty();
    }

    /** Runs the only task of a lasting job on the first worker. */
    private void runLastingTask() {
        accept("s1", JobFixtures.step(1, List.of(), true, false, 100));
        startAll(W1);
        reportRunning();
    }

    private WorkerInstructions reportRunning() {
        return report(W1, running("s1", 0, 1, 100));
    }

    /** Lets time pass in which the scheduler plans as often as it does in practice. */
    private void pass(long millis) {
        for (long passed = 0; passed < millis; passed += 50) {
            now += TimeUnit.MILLISECONDS.toNanos(50);
            commit(plan());
        }
    }

    private void takeOver(String host) {
        table.apply(++index, new JobCommand.Acquire(HostId.of(host)));
        scheduler.takeOver(now);
    }

    private void accept(String id, JobStep... steps) {
        table.apply(++index, JobFixtures.accept(id, steps));
    }

    private void startAll(WorkerIncarnation worker) {
        report(worker);
        commit(plan());
    }

    private List<JobTransition> plan() {
        return scheduler.plan(now, 0);
    }

    private void commit(List<JobTransition> plan) {
        table.apply(++index, new JobCommand.Advance(table.epoch(), plan));
    }

    private WorkerInstructions report(WorkerIncarnation worker) {
        return scheduler
                .report(JobFixtures.report(worker, ++sequence, List.of(), List.of()), now)
                .orElseThrow();
    }

    private WorkerInstructions report(WorkerIncarnation worker, RunningTask running) {
        return scheduler
                .report(JobFixtures.report(worker, ++sequence, List.of(running), List.of()), now)
                .orElseThrow();
    }

    private WorkerInstructions report(WorkerIncarnation worker, EndedRun ended) {
        return scheduler
                .report(JobFixtures.report(worker, ++sequence, List.of(), List.of(ended)), now)
                .orElseThrow();
    }

    private static RunningTask running(String job, int task, int attempt, int percent) {
        return new RunningTask(JobFixtures.run(job, 0, task, attempt), "", percent, 0);
    }

    private static EndedRun ended(long number, String job, int task, int attempt, ReportedEnd end) {
        return new EndedRun(number, JobFixtures.run(job, 0, task, attempt), end, "");
    }

    /** Records the reasons for which runs were stopped, workers were lost and jobs wait, and other decisions. */
    private record RecordedEvents(
            List<String> stops,
            List<String> losses,
            List<TaskKey> givenUp,
            List<String> waits,
            Set<String> quarantines,
            Set<String> refusedQuarantines)
            implements SchedulerListener {
        @Override
        public void workerSeen(WorkerReport report) {}

        @Override
        public void workerExiting(WorkerIncarnation incarnation) {}

        @Override
        public void workerGone(WorkerIncarnation incarnation, String reason) {
            losses.add(reason);
        }

        @Override
        public void workerSilent(WorkerIncarnation incarnation, int runs, boolean reported, long millis) {}

        @Override
        public void workerReturned(WorkerIncarnation incarnation) {}

        @Override
        public void reportIgnored(WorkerReport report) {}

        @Override
        public void reportRejected(WorkerReport report) {}

        @Override
        public void unlisted(RunKey run, WorkerIncarnation worker, boolean sent, boolean stopping) {}

        @Override
        public void neverStarted(RunKey run, WorkerIncarnation worker) {}

        @Override
        public void starting(RunKey run, WorkerIncarnation worker, long epoch) {}

        @Override
        public void stopping(RunKey run, WorkerIncarnation worker, String reason) {
            stops.add(reason);
        }

        @Override
        public void ended(EndedRun end, WorkerIncarnation worker) {}

        @Override
        public void endedWithWorker(RunKey run, WorkerIncarnation worker, RunEnd end) {}

        @Override
        public void workerCrashed(RunKey run, WorkerIncarnation worker, int crashes) {}

        @Override
        public void givenUp(TaskKey task, int crashes) {
            givenUp.add(task);
        }

        @Override
        public void quarantineDecided(WorkerId worker, QuarantineControl.Evidence evidence, long millis) {
            (millis > 0 ? quarantines : refusedQuarantines).add(worker.value());
        }

        @Override
        public void restartPaused(TaskKey task, int shortRuns, long millis) {}

        @Override
        public void waiting(JobRecord job, int step, WaitReason reason, Optional<FreeCapacity> closest) {
            waits.add(job.id() + " " + reason);
        }

        @Override
        public void workerSpeed(WorkerId worker, boolean slow, double factor) {}

        @Override
        public void interferenceLearned(String pairs) {}

        @Override
        public void jobEnded(JobRecord job) {}
    }
}
