package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.ChangeId;
import dev.waxwinghead.model.id.DataCentreId;

/**
 * A drain of a data centre, or the revert of one, that was applied under a change id.
 *
 * @param change the id of the operator's request
 * @param dataCentre the data centre
 * @param drained true for a drain, false for a revert
 * @param index the log index of the command that was applied first under the change id
 * @since 0.2
 */
public record DrainChange(ChangeId change, DataCentreId dataCentre, boolean drained, long index) {}
