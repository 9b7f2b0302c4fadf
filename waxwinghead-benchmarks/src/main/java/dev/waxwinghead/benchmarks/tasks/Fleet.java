package dev.waxwinghead.benchmarks.tasks;

import dev.waxwinghead.model.manifest.ObjectiveManifest;
import dev.waxwinghead.model.resource.Resources;

/**
 * Describes a fleet of identical workers.
 *
 * @param name the fleet's name
 * @param workers the number of workers
 * @param workersPerRack the number of workers in each rack
 * @param capacity the resources of each worker
 * @param objective the weights of the scheduling objectives
 */
record Fleet(String name, int workers, int workersPerRack, Resources capacity, ObjectiveManifest objective) {
    private static final long GIGABYTE = 1_000_000_000L;

    static final Fleet SEATING =
            new Fleet("seating-33", 33, 8, Resources.of(16_000, 60 * GIGABYTE, 0), objectiveOf(3, 1));
    static final Fleet STRINGS =
            new Fleet("strings-32", 32, 6, Resources.of(32_000, 125 * GIGABYTE, 0), objectiveOf(1, 3));
    static final Fleet LARGE =
            new Fleet("large-3100", 3_100, 40, Resources.of(32_000, 125 * GIGABYTE, 0), objectiveOf(1, 1));

    private static ObjectiveManifest objectiveOf(double tailLatency, double batchThroughput) {
        return new ObjectiveManifest("default", tailLatency, batchThroughput, 1);
    }
}
