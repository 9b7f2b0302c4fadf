package dev.waxwinghead.model.manifest;

import dev.waxwinghead.model.label.Selector;

/**
 * States where tasks may land and beside what.
 *
 * @param workers selects workers by their labels; null means every worker
 * @param beside every worker used must run a task whose labels this selects; null means no such rule
 * @param notBeside no worker used may run a task whose labels this selects; null means no such rule
 * @param spreadOver what the tasks are spread over; null means {@link Spread#NONE}
 * @since 0.1
 */
public record Placement(Selector workers, Selector beside, Selector notBeside, Spread spreadOver) {
    /** Lets tasks land anywhere. */
    public static final Placement ANYWHERE = new Placement(null, null, null, null);

    /** Fills in what was left out; {@code beside} and {@code notBeside} stay null where there is no rule. */
    public Placement {
        workers = workers == null ? Selector.ALL : workers;
        spreadOver = spreadOver == null ? Spread.NONE : spreadOver;
    }

    /** Lists what the tasks of one owner can be spread over. */
    public enum Spread {
        /** Not spread. */
        NONE,
        /** At most as many more tasks on one worker than on another as can't be helped. */
        WORKER,
        /** The same over racks. */
        RACK,
        /** The same over data centres. */
        DATA_CENTRE
    }
}
