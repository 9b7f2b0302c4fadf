package dev.waxwinghead.testkit.worker;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.label.Labels;
import dev.waxwinghead.model.resource.Resources;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

/**
 * Configures a process of simulated workers.
 *
 * @param workerPorts the worker ports of the entry hosts as {@code ip:port}
 * @param id the id of the worker, or the prefix of the ids if there are several workers
 * @param dataCentre the data centre
 * @param rack the id of the rack, or the prefix of the ids if there are several workers
 * @param capacity the capacity of each worker
 * @param labels the labels of each worker
 * @param workers the number of simulated workers
 * @param workersPerRack the number of workers in a rack
 * @param incarnation the incarnation that the workers report
 * @param poll the maximum pause between two polls
 * @param drain the maximum time that a worker waits for work in flight when it leaves
 * @param usageLag the delay after which usage is reported
 * @param failsAll whether every batch task fails
 * @param record the file that receives the events of tasks, null for none
 */
record WorkerOptions(
        List<String> workerPorts,
        String id,
        DataCentreId dataCentre,
        String rack,
        Resources capacity,
        Labels labels,
        int workers,
        int workersPerRack,
        long incarnation,
        Duration poll,
        Duration drain,
        Duration usageLag,
        boolean failsAll,
        Path record) {
    WorkerOptions {
        workerPorts = List.copyOf(workerPorts);
    }
}
