package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.resource.Resources;

/**
 * A change to one attempt of a task.
 *
 * @since 0.1
 */
public sealed interface Transition {
    /**
     * Returns the id of the task.
     *
     * @return the id, never null
     */
    TaskId task();

    /**
     * Returns the number of the attempt.
     *
     * @return the number, from 1
     */
    int attempt();

    /**
     * Records a new attempt; the start command is sent only after this transition has been applied.
     *
     * @param task the task
     * @param attempt the next attempt number
     * @param worker the worker
     * @param incarnation the incarnation of the worker
     * @param resources the resources to commit for the attempt
     */
    record Start(TaskId task, int attempt, WorkerId worker, long incarnation, Resources resources)
            implements Transition {}

    /**
     * Records a change of a live attempt.
     *
     * @param kind what happened
     * @param task the task
     * @param attempt the attempt
     * @param text the checkpoint, or the message of a failure; null if there is none
     */
    record Report(Kind kind, TaskId task, int attempt, String text) implements Transition {}

    /** The kinds of changes of an attempt. */
    enum Kind {
        /** The worker is running the attempt. */
        RUNNING(1),
        /** The attempt has written a new checkpoint. */
        CHECKPOINTED(2),
        /** The attempt is to stop, and its task to be placed again. */
        EVICTING(3),
        /** The attempt ran to completion. */
        COMPLETED(4),
        /** The attempt failed by itself, which counts against the job. */
        FAILED(5),
        /** The attempt failed because of its worker, which does not count against the job. */
        FAILED_BY_WORKER(6),
        /** The worker has stopped the attempt. */
        STOPPED(7),
        /** The attempt has certainly ended, because the lease of its worker expired or the worker restarted. */
        LOST(8);

        private final int code;

        Kind(int code) {
            this.code = code;
        }

        /**
         * Returns the code of the kind in the log.
         *
         * @return the code; must never change
         */
        public int code() {
            return code;
        }

        /**
         * Returns the kind with a code.
         *
         * @param code the code
         * @return the kind, never null
         * @throws IllegalArgumentException if no kind has the code
         */
        public static Kind ofCode(int code) {
            for (Kind kind : values()) {
                if (kind.code == code) {
                    return kind;
                }
            }
            throw new IllegalArgumentException("transition kind code " + code + " is not defined");
        }
    }
}
