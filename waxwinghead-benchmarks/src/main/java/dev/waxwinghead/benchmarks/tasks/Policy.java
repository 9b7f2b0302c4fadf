package dev.waxwinghead.benchmarks.tasks;

import dev.waxwinghead.scheduling.placement.ColocationCostModel;
import dev.waxwinghead.scheduling.placement.WorkerScore;
import dev.waxwinghead.scheduling.placement.Workload;
import dev.waxwinghead.scheduling.task.LearnedCostModel;

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

    LearnedCostModel learning() {
        return this == LEARNED ? LearnedCostModel.create() : LearnedCostModel.withoutInterference();
    }

    WorkerScore score(LearnedCostModel learning) {
        return switch (this) {
            case LEARNED -> WorkerScore.byCost(learning);
            case WITHOUT_INTERFERENCE -> WorkerScore.byCost(new SizesOnly(learning));
            case FIRST_FIT -> WorkerScore.firstFit();
            case BEST_FIT -> WorkerScore.bestFit();
        };
    }

    private record SizesOnly(LearnedCostModel learning) implements ColocationCostModel {
        @Override
        public double expectedMillicores(Workload workload) {
            return learning.expectedMillicores(workload);
        }

        @Override
        public double overloadCost(double load) {
            return learning.overloadCost(load);
        }
    }
}
