package dev.waxwinghead.benchmarks.tasks;

import dev.waxwinghead.model.id.JobName;
import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.model.id.TeamName;
import dev.waxwinghead.model.label.Labels;
import dev.waxwinghead.model.label.Requirement;
import dev.waxwinghead.model.label.Selector;
import dev.waxwinghead.model.label.SelectorOperator;
import dev.waxwinghead.model.manifest.JobManifest;
import dev.waxwinghead.model.manifest.Placement;
import dev.waxwinghead.model.manifest.ServiceManifest;
import dev.waxwinghead.model.resource.Resources;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Creates the services and jobs of a run and holds their actual resource use and interference. */
final class Workloads {
    static final int SERVICES = 4;
    static final int CLASSES = 6;
    static final int NOISY_CLASS = 5;
    private static final long GIGABYTE = 1_000_000_000L;
    private static final int[] CLASS_MILLICORES = {500, 1_000, 1_000, 2_000, 1_000, 2_000};

    /** Latency increases of severe interference on a worker of 16 cores, as multiples of the latency target. */
    private static final double[] SEVERE_INCREASES = {0.12, 0.2, 0.3};

    private final Fleet fleet;
    private final Scenario scenario;
    private final double[][] latencyIncrease = new double[SERVICES][CLASSES];

    Workloads(Fleet fleet, Scenario scenario, Random random) {
        this.fleet = fleet;
        this.scenario = scenario;
        double scale = 16_000.0 / fleet.capacity().millicores();
        for (int service = 0; service < SERVICES; service++) {
            for (int batch = 0; batch < CLASSES; batch++) {
                boolean severe = (service + batch) % 3 == 0;
                double increase = severe ? SEVERE_INCREASES[random.nextInt(SEVERE_INCREASES.length)] : 0.01;
                latencyIncrease[service][batch] = increase * scale;
            }
        }
    }

    ServiceManifest service(int number) {
        int replicas = fleet.workers() * 9 / 10 / SERVICES;
        Resources resources = Resources.of(fleet.capacity().millicores() / 4, 8 * GIGABYTE, 0);
        Labels labels = Labels.of(Map.of("tier", "front"));
        Placement placement = new Placement(
                null,
                null,
                Selector.of(List.of(Requirement.of("tier", SelectorOperator.EXISTS))),
                Placement.Spread.WORKER);
        return new ServiceManifest(
                ServiceName.of("service" + number),
                TeamName.of("front"),
                labels,
                replicas,
                resources,
                placement,
                null,
                null,
                null,
                null);
    }

    JobManifest job(String name, int batchClass, int tasks, boolean urgent) {
        return new JobManifest(
                JobName.of(name),
                TeamName.of("batch"),
                Labels.of(Map.of("class", "class" + batchClass)),
                tasks,
                Resources.of(CLASS_MILLICORES[batchClass], GIGABYTE, 0),
                null,
                null,
                urgent,
                null,
                1_000,
                null);
    }

    /** Returns the number of the service to which a task belongs. */
    static int serviceIndex(String taskId) {
        return Character.digit(taskId.charAt("service/service".length()), 10);
    }

    /** Returns the actual processor use of a batch task. */
    double actualMillicores(int batchClass) {
        return CLASS_MILLICORES[batchClass] * scenario.sizeFactor(batchClass);
    }

    /** Returns by how much a batch task raises the latency of a service, as a multiple of the latency target. */
    double latencyIncrease(int service, int batchClass) {
        return latencyIncrease[service][batchClass];
    }
}
