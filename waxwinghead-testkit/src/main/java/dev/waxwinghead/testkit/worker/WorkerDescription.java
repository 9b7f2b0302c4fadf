package dev.waxwinghead.testkit.worker;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.RackId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.label.Labels;
import dev.waxwinghead.model.resource.Resources;

/**
 * Describes a worker.
 *
 * @param id the id of the worker
 * @param incarnation the incarnation, which increases with each restart
 * @param dataCentre the data centre
 * @param rack the rack
 * @param capacity the total resources
 * @param labels the labels
 */
record WorkerDescription(
        WorkerId id, long incarnation, DataCentreId dataCentre, RackId rack, Resources capacity, Labels labels) {}
