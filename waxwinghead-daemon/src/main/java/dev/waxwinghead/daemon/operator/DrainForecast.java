package dev.waxwinghead.daemon.operator;

import dev.waxwinghead.model.id.DataCentreId;
import java.util.List;

/**
 * Tells whether the tasks of services in a data centre fit elsewhere. Selectors and free resources of workers are
 * considered, not rules for tasks beside each other.
 *
 * @param dataCentre the data centre
 * @param drained whether the data centre is drained already
 * @param fits whether all tasks of services fit elsewhere
 * @param services the services with live tasks in the data centre
 * @param jobTasks the number of live tasks of jobs, which run to completion
 */
public record DrainForecast(
        DataCentreId dataCentre, boolean drained, boolean fits, List<Service> services, int jobTasks) {
    /** Copies the list. */
    public DrainForecast {
        services = List.copyOf(services);
    }

    /**
     * The live tasks of one service in the data centre.
     *
     * @param service the name of the service
     * @param tasks the number of its live tasks in the data centre
     * @param fitElsewhere how many of them fit on workers elsewhere
     */
    public record Service(String service, int tasks, int fitElsewhere) {}
}
