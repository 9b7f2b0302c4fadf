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

/** Declares the services and jobs of a run, and knows what they truly do to each other. */
final class Workloads {
    static final int SERVICES = 4;
    static final int CLASSES = 6;
    static final int NOISY_CLASS = 5;
    private static final long GIGABYTE = 1_000_000_000L;
    private static final int[] CLASS_MILLICORES = {500, 1_000, 1_000, 2_000, 1_000, 2_000};
    private static final double[] SEVERE = {0.12, 0.2, 0.3};

    private final Fleet fleet;
    private final Scenario scenario;
    private final double[][] rise = new double[SERVICES][CLASSES];

    Workloads(Fleet fleet, Scenario scenario, Random random) {
        this.fleet = fleet;
        this.scenario = scenario;
        double perTask = 16_000.0 / fleet.capacity().millicores();
        for (int service = 0; service < SERVICES; service++) {
            for (int batch = 0; batch < CLASSES; batch++) {
                boolean severe = (service + batch) % 3 == 0;
                double full = severe ? SEVERE[random.nextInt(SEVERE.length)] : 0.01;
                rise[service][batch] = full * perTask;
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

    static int serviceOf(String taskId) {
        return Character.digit(taskId.charAt("service/service".length()), 10);
    }

    double trueMillicores(int batchClass) {
        return CLASS_MILLICORES[batchClass] * scenario.sizeFactor(batchClass);
    }

    double rise(int service, int batchClass) {
        return rise[service][batchClass];
    }
}
