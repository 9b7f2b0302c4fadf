package dev.waxwinghead.benchmarks.tasks;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.RackId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.label.Labels;
import dev.waxwinghead.model.label.Requirement;
import dev.waxwinghead.model.label.Selector;
import dev.waxwinghead.model.label.SelectorOperator;
import dev.waxwinghead.model.manifest.ManifestKey;
import dev.waxwinghead.model.manifest.ManifestKind;
import dev.waxwinghead.model.manifest.Placement;
import dev.waxwinghead.model.resource.Resources;
import dev.waxwinghead.scheduling.placement.PlacementDecision;
import dev.waxwinghead.scheduling.placement.PlacementIndex;
import dev.waxwinghead.scheduling.placement.WorkerDescription;
import dev.waxwinghead.scheduling.placement.WorkerScore;
import dev.waxwinghead.scheduling.placement.Workload;
import dev.waxwinghead.scheduling.task.LearnedCostModel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures one placement decision, including commitment and release, among workers that run 38,000 tasks. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class PlacementBenchmark {
    private static final int SERVICE_TASKS = 12_000;
    private static final int BATCH_TASKS = 26_000;
    private static final int SERVICES = 400;
    private static final int JOBS = 600;
    private static final int CLASSES = 40;
    private static final double FILL_SHARE = 0.9;

    /** The number of workers. */
    @Param({"32", "330", "3100"})
    int workers;

    private final List<Workload> jobs = new ArrayList<>();
    private final List<Workload> services = new ArrayList<>();
    private PlacementIndex index;
    private int next;

    /** Commits 38,000 tasks to the workers, which fills them to nine tenths. */
    @Setup
    public void fill() {
        Random random = new Random(1);
        index = PlacementIndex.create(WorkerScore.byCost(LearnedCostModel.create()));
        int perWorker = (SERVICE_TASKS + BATCH_TASKS) / workers + 1;
        Resources capacity = Resources.of((long) (perWorker * 1_000 / FILL_SHARE), perWorker * 10L, 0);
        for (int i = 0; i < workers; i++) {
            Labels labels = Labels.of(Map.of("pool", "p" + i % 4));
            index.putWorker(new WorkerDescription(
                    WorkerId.of("w" + i), DataCentreId.of("dc1"), RackId.of("r" + i / 40), capacity, labels));
        }
        for (int i = 0; i < SERVICES; i++) {
            services.add(workload(ManifestKind.SERVICE, i));
        }
        for (int i = 0; i < JOBS; i++) {
            jobs.add(workload(ManifestKind.JOB, i));
        }
        for (int i = 0; i < SERVICE_TASKS + BATCH_TASKS; i++) {
            List<Workload> kind = i < SERVICE_TASKS ? services : jobs;
            Workload workload = kind.get(random.nextInt(kind.size()));
            index.commit(WorkerId.of("w" + i % workers), workload, workload.resources());
        }
    }

    /**
     * Places a task of a job, commits its resources and releases them again.
     *
     * @return the decision, never null
     */
    @Benchmark
    public PlacementDecision place() {
        Workload workload = jobs.get(next++ % JOBS);
        PlacementDecision decision = index.choose(workload, worker -> true, Set.of(), true);
        WorkerId worker = decision.worker().orElseThrow();
        index.commit(worker, workload, workload.resources());
        index.release(worker, workload, workload.resources());
        return decision;
    }

    private static Workload workload(ManifestKind kind, int number) {
        Selector pool = Selector.of(List.of(Requirement.of(
                "pool", SelectorOperator.IN, "p" + number % 4, "p" + (number + 1) % 4, "p" + (number + 2) % 4)));
        return Workload.of(
                ManifestKey.of(kind, "owner" + number),
                kind == ManifestKind.SERVICE,
                Labels.of(Map.of("class", "class" + number % CLASSES)),
                Resources.of(1_000, 10, 0),
                new Placement(pool, null, null, null));
    }
}
