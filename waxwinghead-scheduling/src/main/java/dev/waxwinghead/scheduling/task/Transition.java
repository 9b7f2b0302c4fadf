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
     * Returns the task.
     *
     * @return the id, never null
     */
    TaskId task();

    /**
     * Returns the attempt.
     *
     * @return the number, from 1
     */
    int attempt();

    /**
     * Records an attempt, before its start command leaves.
     *
     * @param task the task
     * @param attempt the next attempt number
     * @param worker the worker
     * @param incarnation the worker's incarnation
     * @param resources what the attempt holds of the worker
     */
    record Start(TaskId task, int attempt, WorkerId worker, long incarnation, Resources resources)
            implements Transition {}

    /**
     * Records what became of an attempt.
     *
     * @param kind what happened
     * @param task the task
     * @param attempt the attempt
     * @param text the checkpoint, or the message of a failure; null if there is none
     */
    record Report(Kind kind, TaskId task, int attempt, String text) implements Transition {}

    /** Lists what can become of an attempt. */
    enum Kind {
        /** Its worker runs it. */
        RUNNING(1),
        /** It has a new checkpoint. */
        CHECKPOINTED(2),
        /** It is to stop and to be placed again. */
        EVICTING(3),
        /** It ran to completion. */
        COMPLETED(4),
        /** It failed by itself. */
        FAILED(5),
        /** It failed because of its worker; this does not count against the job. */
        FAILED_BY_WORKER(6),
        /** Its worker has stopped it. */
        STOPPED(7),
        /** Its worker has surely stopped it, or started anew. */
        LOST(8);

        private final int code;

        Kind(int code) {
            this.code = code;
        }

        /**
         * Returns the code that stands for the kind in the log.
         *
         * @return the code, which never changes
         */
        public int code() {
            return code;
        }

        /**
         * Returns the kind of a code.
         *
         * @param code the code
         * @return the kind, never null
         * @throws IllegalArgumentException if there is no such kind
         */
        public static Kind ofCode(int code) {
            for (Kind kind : values()) {
                if (kind.code == code) {
                    return kind;
                }
            }
            throw new IllegalArgumentException("code " + code + " names no kind of transition");
        }
    }
}
