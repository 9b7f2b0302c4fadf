package dev.waxwinghead.scheduling.task;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.model.id.JobName;
import dev.waxwinghead.model.id.TeamName;
import dev.waxwinghead.model.manifest.JobManifest;
import dev.waxwinghead.model.manifest.QuotaManifest;
import dev.waxwinghead.model.resource.Resources;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DataCentreSchedulerTests {
    private final Bench bench = new Bench();

    @Nested
    class Health {
        @Test
        void quarantinesAWorkerThatFailsAllAfterAtMostFiveTasks() {
            Bench.Worker broken = bench.worker("a-broken", 16_000);
            broken.failsAll = true;
            IntStream.range(0, 3).forEach(i -> bench.worker("w" + i, 2_000));
            bench.declare(Bench.job("one", "team", 40, 500, false), Bench.job("two", "team", 40, 500, false));

            bench.pass(40);

            assertThat(broken.starts.size()).isAtMost(5);
            assertThat(bench.count("one", TaskState.COMPLETED) + bench.count("two", TaskState.COMPLETED))
                    .isEqualTo(80);
            assertThat(state("a-broken")).isEqualTo(WorkerSummary.State.QUARANTINED);
        }

        @Test
        void quarantinesNoWorkerForAJobThatFailsEverywhere() {
            IntStream.range(0, 4)
                    .forEach(i -> bench.worker("w" + i, 2_000).failing.put("broken", true));
            bench.declare(Bench.job("broken", "team", 30, 100, false), Bench.job("sound", "team", 30, 100, false));

            bench.pass(60);

            assertThat(bench.count("sound", TaskState.COMPLETED)).isEqualTo(30);
            assertThat(bench.scheduler.workers().stream().map(WorkerSummary::state))
                    .containsExactly(
                            WorkerSummary.State.READY,
                            WorkerSummary.State.READY,
                            WorkerSummary.State.READY,
                            WorkerSummary.State.READY);
        }

        @Test
        void takesAWorkerBackAfterASuccessOnProbation() {
            Bench.Worker broken = bench.worker("a-broken", 16_000);
            broken.failsAll = true;
            bench.worker("w1", 2_000);
            bench.declare(Bench.job("one", "team", 20, 500, false), Bench.job("two", "team", 20, 500, false));
            bench.pass(40);
            broken.failsAll = false;
            int before = broken.starts.size();

            bench.declare(Bench.job("three", "team", 400, 500, false));
            bench.pass(90);

            assertThat(broken.starts.size()).isGreaterThan(before + 20);
            assertThat(state("a-broken")).isEqualTo(WorkerSummary.State.READY);
        }

        private WorkerSummary.State state(String worker) {
            return bench.scheduler.workers().stream()
                    .filter(summary -> summary.description().id().value().equals(worker))
                    .findFirst()
                    .orElseThrow()
                    .state();
        }
    }

    @Nested
    class Cancelling {
        @Test
        void endsTenThousandAtOnceAndGoesOnWithTheQueueBehind() {
            IntStream.range(0, 20).forEach(i -> bench.worker("w" + i, 16_000).endless = true);
            List<JobManifest> jobs = IntStream.range(0, 100)
                    .mapToObj(i -> Bench.job("j" + i, "team", 100, 100, false))
                    .toList();
            bench.declare(jobs.toArray(JobManifest[]::new));
            bench.declare(Bench.job("behind", "team", 50, 100, false));
            bench.pass(8);
            long before = bench.workers.values().stream()
                    .mapToLong(Bench.Worker::running)
                    .sum();
            assertThat(before).isEqualTo(3_200);

            bench.apply(new TaskCommand.CancelJobs(
                    IntStream.range(0, 100).mapToObj(i -> JobName.of("j" + i)).toList()));
            bench.pass(4);

            assertThat(IntStream.range(0, 100)
                            .mapToLong(i -> bench.count("j" + i, TaskState.CANCELLED))
                            .sum())
                    .isEqualTo(10_000);
            assertThat(bench.workers.values().stream()
                            .mapToLong(Bench.Worker::running)
                            .sum())
                    .isEqualTo(50);
            assertThat(bench.count("behind", TaskState.RUNNING)).isEqualTo(50);
        }
    }

    @Nested
    class Room {
        @Test
        void evictsForUrgentWorkAndResumesOnceFromTheCheckpoint() {
            Bench.Worker worker = bench.worker("w1", 1_000);
            worker.endless = true;
            bench.declare(Bench.job("slow", "team", 2, 500, false));
            bench.pass(8);

            bench.declare(Bench.job("urgent", "team", 1, 400, true));
            bench.pass(0.6);
            assertThat(bench.count("urgent", TaskState.RUNNING)).isEqualTo(1);
            worker.endless = false;
            bench.pass(10);

            assertThat(bench.count("urgent", TaskState.COMPLETED)).isEqualTo(1);
            assertThat(bench.count("slow", TaskState.COMPLETED)).isEqualTo(2);
            assertThat(worker.starts).hasSize(4);
            assertThat(worker.starts.get(3).attempt()).isEqualTo(2);
            assertThat(worker.starts.get(3).checkpoint()).isEqualTo("c1");
        }

        @Test
        void lendsFreeQuotaAndTakesItBack() {
            bench.worker("w1", 1_000).endless = true;
            TeamName lender = TeamName.of("lender");
            TeamName borrower = TeamName.of("borrower");
            Resources half = Resources.of(500, 1_000, 0);
            bench.scheduler.quotas(Map.of(
                    lender, new QuotaManifest(lender, half, null),
                    borrower, new QuotaManifest(borrower, half, null)));
            bench.declare(Bench.job("greedy", "borrower", 10, 100, false));
            bench.pass(8);
            assertThat(bench.count("greedy", TaskState.RUNNING)).isEqualTo(10);

            bench.declare(Bench.job("rightful", "lender", 10, 100, false));
            bench.pass(30);

            assertThat(bench.count("rightful", TaskState.RUNNING)).isEqualTo(5);
            assertThat(bench.count("greedy", TaskState.RUNNING)).isEqualTo(5);
        }

        @Test
        void refusesBorrowingWhereItIsNotAllowed() {
            bench.worker("w1", 1_000).endless = true;
            TeamName team = TeamName.of("team");
            bench.scheduler.quotas(Map.of(team, new QuotaManifest(team, Resources.of(300, 1_000, 0), false)));
            bench.declare(Bench.job("greedy", "team", 10, 100, false));

            bench.pass(8);

            assertThat(bench.count("greedy", TaskState.RUNNING)).isEqualTo(3);
            assertThat(bench.scheduler.refusals().values().iterator().next()).contains("has used up its quota");
        }

        @Test
        void startsNothingOnAWorkerThatAnnouncesLessThanItHolds() {
            Bench.Worker worker = bench.worker("w1", 1_000);
            worker.endless = true;
            bench.declare(Bench.job("slow", "team", 4, 200, false));
            bench.pass(3);
            worker.millicores = 600;
            bench.declare(Bench.job("next", "team", 4, 50, false));

            bench.pass(3);

            assertThat(worker.starts).hasSize(4);
        }
    }
}
