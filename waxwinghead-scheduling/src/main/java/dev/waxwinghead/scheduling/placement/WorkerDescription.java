package dev.waxwinghead.scheduling.placement;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.RackId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.label.Labels;
import dev.waxwinghead.model.resource.Resources;

/**
 * Describes a worker as it announces itself.
 *
 * @param id the worker
 * @param dataCentre its data centre
 * @param rack its rack
 * @param capacity what it has in all
 * @param labels its labels
 * @since 0.1
 */
public record WorkerDescription(WorkerId id, DataCentreId dataCentre, RackId rack, Resources capacity, Labels labels) {}
