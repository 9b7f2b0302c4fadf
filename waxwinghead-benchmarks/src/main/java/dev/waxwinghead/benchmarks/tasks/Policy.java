package dev.waxwinghead.benchmarks.tasks;

import dev.waxwinghead.scheduling.placement.HarmModel;
import dev.waxwinghead.scheduling.placement.WorkerScore;
import dev.waxwinghead.scheduling.placement.Workload;
import dev.waxwinghead.scheduling.task.Learning;

/** Lists the ways to choose a worker. Only {@link #LEARNED} takes interference between tasks into account. */
enum Policy {
    /** Uses learned interference and learned sizes. */
    LEARNED,
    /** Uses learned sizes without the interference model. */
    WITHOUT_INTERFERENCE,
    /** Chooses the first worker that fits by declared size. */
    FIRST_FIT,
    /** Chooses the worker with the least remaining capacity by declared size. */
    BEST_FIT;

    Learning learning() {
        return this == LEARNED ? Learning.create() : Learning.withoutInterference();
    }

    WorkerScore score(Learning learning) {
        return switch (this) {
            case LEARNED -> WorkerScore.byHarm(learning);
            case WITHOUT_INTERFERENCE -> WorkerScore.byHarm(new SizesOnly(learning));
            case FIRST_FIT -> WorkerScore.firstFit();
            case BEST_FIT -> WorkerScore.bestFit();
        };
    }

    private record SizesOnly(Learning learning) implements HarmModel {
        @Override
        public double expectedMillicores(Workload workload) {
            return learning.expectedMillicores(workload);
        }

        @Override
        public double overload(double load) {
            return learning.overload(load);
        }
    }
}
