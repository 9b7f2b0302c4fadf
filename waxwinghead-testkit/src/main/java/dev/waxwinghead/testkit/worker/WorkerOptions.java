package dev.waxwinghead.testkit.worker;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.label.Labels;
import dev.waxwinghead.model.resource.Resources;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

/**
 * Holds the settings of a process of stand-in workers.
 *
 * @param workerPorts the entry hosts' worker ports as {@code ip:port}
 * @param id the worker's id, or the start of the ids if there are several
 * @param dataCentre the data centre
 * @param rack the rack, or the start of the racks' ids if there are several
 * @param capacity what each worker has
 * @param labels the labels of each worker
 * @param workers how many workers the process plays
 * @param workersPerRack how many of them share a rack
 * @param incarnation the incarnation that is reported
 * @param poll how often it polls at least
 * @param drain how long leaving may take
 * @param usageLag how late usage is reported
 * @param failsAll whether every batch task fails
 * @param record the file that says what tasks did; null for none
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
