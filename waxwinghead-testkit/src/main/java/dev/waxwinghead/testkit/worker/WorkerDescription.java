package dev.waxwinghead.testkit.worker;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.RackId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.label.Labels;
import dev.waxwinghead.model.resource.Resources;

/**
 * Describes a worker.
 *
 * @param id the worker
 * @param incarnation rises with each restart
 * @param dataCentre its data centre
 * @param rack its rack
 * @param capacity what it has
 * @param labels its labels
 */
record WorkerDescription(
        WorkerId id, long incarnation, DataCentreId dataCentre, RackId rack, Resources capacity, Labels labels) {}
