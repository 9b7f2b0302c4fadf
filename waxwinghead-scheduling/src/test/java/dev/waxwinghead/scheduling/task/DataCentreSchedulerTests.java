package dev.waxwinghead.scheduling.task;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.model.id.JobName;
import dev.waxwinghead.model.id.TeamName;
import dev.waxwinghead.model.manifest.JobManifest;
import dev.waxwinghead.model.manifest.QuotaManifest;
import dev.waxwinghead.model.resource.Resources;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DataCentreSchedulerTests {
    private final SchedulerFixture fixture = new SchedulerFixture();

    @Nested
    class Health {
        @Test
        void quarantinesAWorkerThatFailsAllAfterAtMostFiveTasks() {
            SchedulerFixture.FakeWorker broken = fixture.worker("a-broken", 16_000);
            broken.failsAll = true;
            IntStream.range(0, 3).forEach(i -> fixture.worker("w" + i, 2_000));
            fixture.declare(
                    SchedulerFixture.job("one", "team", 40, 500, false),
                    SchedulerFixture.job("two", "team", 40, 500, false));

            fixture.advance(40);

            assertThat(broken.starts.size()).isAtMost(5);
            assertThat(fixture.count("one", TaskState.COMPLETED) + fixture.count("two", TaskState.COMPLETED))
                    .isEqualTo(80);
            assertThat(state("a-broken")).isEqualTo(WorkerSummary.State.QUARANTINED);
        }

        @Test
        void quarantinesNoWorkerForAJobThatFailsEverywhere() {
            IntStream.range(0, 4)
                    .forEach(i -> fixture.worker("w" + i, 2_000).failing.put("broken", true));
            fixture.declare(
                    SchedulerFixture.job("broken", "team", 30, 100, false),
                    SchedulerFixture.job("sound", "team", 30, 100, false));

            fixture.advance(60);

            assertThat(fixture.count("sound", TaskState.COMPLETED)).isEqualTo(30);
            assertThat(fixture.scheduler.workers().stream().map(WorkerSummary::state))
                    .containsExactly(
                            WorkerSummary.State.READY,
                            WorkerSummary.State.READY,
                            WorkerSummary.State.READY,
                            WorkerSummary.State.READY);
        }

        @Test
        void readmitsAWorkerAfterASuccessOnProbation() {
            SchedulerFixture.FakeWorker broken = fixture.worker("a-broken", 16_000);
            broken.failsAll = true;
            fixture.worker("w1", 2_000);
            fixture.declare(
                    SchedulerFixture.job("one", "team", 20, 500, false),
                    SchedulerFixture.job("two", "team", 20, 500, false));
            fixture.advance(40);
            broken.failsAll = false;
            int before = broken.starts.size();

            fixture.declare(SchedulerFixture.job("three", "team", 400, 500, false));
            fixture.advance(90);

            assertThat(broken.starts.size()).isGreaterThan(before + 20);
            assertThat(state("a-broken")).isEqualTo(WorkerSummary.State.READY);
        }

        private WorkerSummary.State state(String worker) {
            return fixture.scheduler.workers().stream()
                    .filter(summary -> summary.description().id().value().equals(worker))
                    .findFirst()
                    .orElseThrow()
                    .state();
        }
    }

    @Nested
    class Restarts {
        private final SchedulerFixture.FakeWorker one = fixture.worker("w1", 1_000);
        private final SchedulerFixture.FakeWorker two = fixture.worker("w2", 1_000);

        @BeforeEach
        void runForever() {
            one.runsForever = true;
            two.runsForever = true;
        }

        @Test
        void startsTheTasksOfALostWorkerElsewhereThoughItTicksBeforeTheLossIsSettled() {
            two.millicores = 0;
            fixture.declare(SchedulerFixture.job("long", "team", 5, 200, false));
            fixture.advance(3);
            assertThat(one.running()).isEqualTo(5);
            two.millicores = 1_000;
            fixture.advance(0.2);

            one.silent = true;
            fixture.ticksBeforeSettling = true;
            fixture.advance(5);

            assertThat(two.running()).isEqualTo(5);
        }

        @Test
        void startsATaskOfALostWorkerElsewhereThoughTheHostAcquiresNewTerms() {
            fixture.declare(SchedulerFixture.job("long", "team", 1, 200, false));
            fixture.advance(3);
            SchedulerFixture.FakeWorker lost = one.running() == 1 ? one : two;
            lost.silent = true;

            for (int i = 0; i < 4; i++) {
                fixture.advance(1);
                fixture.acquireAgain();
            }
            fixture.advance(1);

            assertThat((lost == one ? two : one).running()).isEqualTo(1);
        }

        @Test
        void waitsForTheLeaseOfASilentWorkerThoughTheHostAcquiresANewTerm() {
            fixture.declare(SchedulerFixture.job("long", "team", 1, 200, false));
            fixture.advance(3);
            SchedulerFixture.FakeWorker silent = one.running() == 1 ? one : two;
            silent.silent = true;

            fixture.advance(1);
            fixture.acquireAgain();
            fixture.advance(2);

            assertThat((silent == one ? two : one).starts).isEmpty();
        }

        @Test
        void startsATaskOfALostWorkerElsewhereThoughItFailedBeforeItsLastStart() {
            one.failing.put("long", true);
            two.failing.put("long", true);
            fixture.declare(SchedulerFixture.job("long", "team", 1, 200, false));
            advanceUntil(() -> failures() == 5);
            one.failing.clear();
            two.failing.clear();
            advanceUntil(() -> one.running() + two.running() == 1);

            SchedulerFixture.FakeWorker lost = one.running() == 1 ? one : two;
            lost.silent = true;
            fixture.advance(5);

            assertThat((lost == one ? two : one).running()).isEqualTo(1);
        }

        @Test
        void delaysATaskThatFailsSoonAfterEachStart() {
            one.failing.put("broken", true);
            two.failing.put("broken", true);
            fixture.declare(SchedulerFixture.job("broken", "team", 1, 200, false));

            fixture.advance(1);
            assertThat(one.starts.size() + two.starts.size()).isEqualTo(1);
            fixture.advance(9);
            assertThat(one.starts.size() + two.starts.size()).isEqualTo(4);
        }

        @Test
        void startsATaskAtOnceThatFailsAfterALongRun() {
            one.failing.put("long", true);
            two.failing.put("long", true);
            fixture.declare(SchedulerFixture.job("long", "team", 1, 200, false));
            advanceUntil(() -> failures() == 6);
            one.failing.clear();
            two.failing.clear();
            advanceUntil(() -> one.running() + two.running() == 1);
            fixture.advance(65);

            (one.running() == 1 ? one : two).failAll();
            fixture.advance(1);

            assertThat(one.running() + two.running()).isEqualTo(1);
        }

        private int failures() {
            return fixture.table.tasks().iterator().next().failures();
        }

        private void advanceUntil(BooleanSupplier condition) {
            for (int i = 0; i < 1_000 && !condition.getAsBoolean(); i++) {
                fixture.advance(0.1);
            }
            assertThat(condition.getAsBoolean()).isTrue();
        }
    }

    @Nested
    class Cancellation {
        @Test
        void cancelsTenThousandTasksAtOnceAndStartsTheNextJob() {
            IntStream.range(0, 20).forEach(i -> fixture.worker("w" + i, 16_000).runsForever = true);
            List<JobManifest> jobs = IntStream.range(0, 100)
                    .mapToObj(i -> SchedulerFixture.job("j" + i, "team", 100, 100, false))
                    .toList();
            fixture.declare(jobs.toArray(JobManifest[]::new));
            fixture.declare(SchedulerFixture.job("behind", "team", 50, 100, false));
            fixture.advance(8);
            long before = fixture.workers.values().stream()
                    .mapToLong(SchedulerFixture.FakeWorker::running)
                    .sum();
            assertThat(before).isEqualTo(3_200);

            fixture.apply(new TaskCommand.CancelJobs(
                    IntStream.range(0, 100).mapToObj(i -> JobName.of("j" + i)).toList()));
            fixture.advance(4);

            assertThat(IntStream.range(0, 100)
                            .mapToLong(i -> fixture.count("j" + i, TaskState.CANCELLED))
                            .sum())
                    .isEqualTo(10_000);
            assertThat(fixture.workers.values().stream()
                            .mapToLong(SchedulerFixture.FakeWorker::running)
                            .sum())
                    .isEqualTo(50);
            assertThat(fixture.count("behind", TaskState.RUNNING)).isEqualTo(50);
        }
    }

    @Nested
    class PreemptionAndQuotas {
        @Test
        void evictsForAnUrgentJobAndResumesOnceFromTheCheckpoint() {
            SchedulerFixture.FakeWorker worker = fixture.worker("w1", 1_000);
            worker.runsForever = true;
            fixture.declare(SchedulerFixture.job("slow", "team", 2, 500, false));
            fixture.advance(8);

            fixture.declare(SchedulerFixture.job("urgent", "team", 1, 400, true));
            fixture.advance(0.6);
            assertThat(fixture.count("urgent", TaskState.RUNNING)).isEqualTo(1);
            worker.runsForever = false;
            fixture.advance(10);

            assertThat(fixture.count("urgent", TaskState.COMPLETED)).isEqualTo(1);
            assertThat(fixture.count("slow", TaskState.COMPLETED)).isEqualTo(2);
            assertThat(worker.starts).hasSize(4);
            assertThat(worker.starts.get(3).attempt()).isEqualTo(2);
            assertThat(worker.starts.get(3).checkpoint()).isEqualTo("c1");
        }

        @Test
        void lendsUnusedQuotaAndReclaimsIt() {
            fixture.worker("w1", 1_000).runsForever = true;
            TeamName lender = TeamName.of("lender");
            TeamName borrower = TeamName.of("borrower");
            Resources half = Resources.of(500, 1_000, 0);
            fixture.scheduler.quotas(Map.of(
                    lender, new QuotaManifest(lender, half, null),
                    borrower, new QuotaManifest(borrower, half, null)));
            fixture.declare(SchedulerFixture.job("greedy", "borrower", 10, 100, false));
            fixture.advance(8);
            assertThat(fixture.count("greedy", TaskState.RUNNING)).isEqualTo(10);

            fixture.declare(SchedulerFixture.job("rightful", "lender", 10, 100, false));
            fixture.advance(30);

            assertThat(fixture.count("rightful", TaskState.RUNNING)).isEqualTo(5);
            assertThat(fixture.count("greedy", TaskState.RUNNING)).isEqualTo(5);
        }

        @Test
        void refusesBorrowingWhereItIsNotAllowed() {
            fixture.worker("w1", 1_000).runsForever = true;
            TeamName team = TeamName.of("team");
            fixture.scheduler.quotas(Map.of(team, new QuotaManifest(team, Resources.of(300, 1_000, 0), false)));
            fixture.declare(SchedulerFixture.job("greedy", "team", 10, 100, false));

            fixture.advance(8);

            assertThat(fixture.count("greedy", TaskState.RUNNING)).isEqualTo(3);
            assertThat(fixture.scheduler.refusals().values().iterator().next()).contains("has used up its quota");
        }

        @Test
        void startsNoTaskOnAWorkerThatAnnouncesLessThanItsCommitments() {
            SchedulerFixture.FakeWorker worker = fixture.worker("w1", 1_000);
            worker.runsForever = true;
            fixture.declare(SchedulerFixture.job("slow", "team", 4, 200, false));
            fixture.advance(3);
            worker.millicores = 600;
            fixture.declare(SchedulerFixture.job("next", "team", 4, 50, false));

            fixture.advance(3);

            assertThat(worker.starts).hasSize(4);
        }
    }
}
