package dev.waxwinghead.scheduling.placement;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.RackId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.label.Labels;
import dev.waxwinghead.model.resource.Resources;

/**
 * The description that a worker announces.
 *
 * @param id the id of the worker
 * @param dataCentre the data centre of the worker
 * @param rack the rack of the worker
 * @param capacity the total resources of the worker
 * @param labels the labels of the worker
 * @since 0.1
 */
public record WorkerDescription(WorkerId id, DataCentreId dataCentre, RackId rack, Resources capacity, Labels labels) {}
