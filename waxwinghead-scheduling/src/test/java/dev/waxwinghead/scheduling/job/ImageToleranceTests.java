package dev.waxwinghead.scheduling.job;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.resource.Resources;
import dev.waxwinghead.scheduling.interference.PairEstimate;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ImageToleranceTests {
    private static final SchedulerTimes TIMES = new SchedulerTimes(
            Duration.ofSeconds(10), Duration.ofSeconds(1), Duration.ofSeconds(120), Duration.ofMillis(20));
    private static final double DISTURBING = 0.2;
    private static final double VARIANCE = 0.0005;

    private final JobTable table = JobTable.create();
    private final InterferenceControl interference = new InterferenceControl();
    private final long now = TimeUnit.SECONDS.toNanos(1000);

    @Test
    void allWorkersAreRatedAlikeWhileNoImageIsKnownToDisturbAnother() {
        accept("b1", bestEffort("quiet", 4));
        ImageTolerance tolerance = ImageTolerance.of(table, interference, now);
        assertThat(tolerance.share(Set.of("web"))).isEqualTo(1.0);
        assertThat(tolerance.share(Set.of())).isEqualTo(1.0);
    }

    @Test
    void ratesWorkersByTheWorkThatTheirServingTasksTolerate() {
        accept("b1", bestEffort("quiet", 3));
        accept("b2", bestEffort("loud", 1));
        interference.adopt(List.of(new PairEstimate("web", "loud", DISTURBING, VARIANCE)), now);
        ImageTolerance tolerance = ImageTolerance.of(table, interference, now);
        assertThat(tolerance.share(Set.of("web"))).isEqualTo(0.75);
        assertThat(tolerance.share(Set.of("mail"))).isEqualTo(1.0);
        assertThat(tolerance.share(Set.of("mail", "web"))).isEqualTo(0.75);
    }

    @Test
    void isFullWithoutBestEffortWork() {
        accept("j1", JobFixtures.step(2, List.of()));
        assertThat(ImageTolerance.of(table, interference, now).share(Set.of("web")))
                .isEqualTo(1.0);
    }

    /**
     * Guards against harmless tasks that fill the few workers on which a disturbing image can run: half of the workers
     * serve an image that the disturbing one slows down, and the harmless job comes first.
     */
    @Test
    void harmlessTasksLeaveTheWorkersThatTolerateADisturbingImage() {
        JobScheduler scheduler = JobScheduler.of(table, TIMES, service -> true, new SilentListener());
        table.apply(1, new JobCommand.Acquire(HostId.of("h1")));
        scheduler.takeOver(now);
        scheduler.adoptInterference(List.of(new PairEstimate("web", "loud", DISTURBING, VARIANCE)), now);
        Map<WorkerIncarnation, String> images = new HashMap<>();
        for (int worker = 0; worker < 8; worker++) {
            WorkerIncarnation incarnation = JobFixtures.incarnation("w" + worker, 1);
            String image = worker < 4 ? "mail" : "web";
            images.put(incarnation, image);
            String job = "s" + worker;
            accept(job, step(image, 1, true, false));
            RunKey run = JobFixtures.run(job, 0, 0, 1);
            table.apply(2, new JobCommand.Advance(table.epoch(), List.of(new JobTransition.Started(run, incarnation))));
            scheduler.report(report(incarnation, run, worker), now);
        }
        accept("b1", bestEffort("quiet", 8));
        accept("b2", bestEffort("loud", 8));
        Map<String, Integer> placed = new HashMap<>();
        for (JobTransition transition : scheduler.plan(now, 0)) {
            if (transition instanceof JobTransition.Started start) {
                placed.merge(start.run().task().job() + " beside " + images.get(start.worker()), 1, Integer::sum);
            }
        }
        assertThat(placed).containsExactly("b1 beside web", 8, "b2 beside mail", 8);
    }

    private void accept(String id, JobStep step) {
        table.apply(table.epoch() + 1, JobFixtures.accept(id, step));
    }

    private static JobStep bestEffort(String image, int count) {
        return step(image, count, false, true);
    }

    private static JobStep step(String image, int count, boolean lasting, boolean bestEffort) {
        return new JobStep(
                count,
                Resources.of(1000, 1000, 0),
                1000,
                List.of(),
                true,
                false,
                false,
                "",
                "",
                0,
                false,
                lasting,
                image,
                lasting ? 100 : 0,
                bestEffort,
                0);
    }

    /** Returns a report of a worker whose serving task is far from its target. */
    private static WorkerReport report(WorkerIncarnation incarnation, RunKey run, int worker) {
        return new WorkerReport(
                incarnation,
                1,
                JobFixtures.TERMS.service(),
                "10.0.0." + worker + ":80",
                Resources.of(4000, 100_000, 0),
                Set.of("a", "rack-1"),
                "rack-1",
                false,
                0,
                List.of(new WorkerReport.RunningTask(run, "", 100, 20)),
                List.of());
    }
}
