package dev.waxwinghead.model.manifest;

import dev.waxwinghead.model.label.Selector;

/**
 * Holds the rules for placing tasks on workers.
 *
 * @param workers selects the allowed workers by their labels; null means every worker
 * @param beside selects tasks by their labels, at least one of which must run on the chosen worker; null means no such
 *     rule
 * @param notBeside selects tasks by their labels, none of which may run on the chosen worker; null means no such rule
 * @param spreadOver the unit over which the tasks are spread; null means {@link Spread#NONE}
 * @since 0.1
 */
public record Placement(Selector workers, Selector beside, Selector notBeside, Spread spreadOver) {
    /** Allows tasks on every worker. */
    public static final Placement ANYWHERE = new Placement(null, null, null, null);

    /** Sets defaults for omitted fields; {@code beside} and {@code notBeside} stay null if there is no rule. */
    public Placement {
        workers = workers == null ? Selector.ALL : workers;
        spreadOver = spreadOver == null ? Spread.NONE : spreadOver;
    }

    /** Enumerates the units over which the tasks of one owner can be spread. */
    public enum Spread {
        /** The tasks are not spread. */
        NONE,
        /** The numbers of tasks on the workers differ as little as possible. */
        WORKER,
        /** The numbers of tasks in the racks differ as little as possible. */
        RACK,
        /** The numbers of tasks in the data centres differ as little as possible. */
        DATA_CENTRE
    }
}
