package dev.waxwinghead.model.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a task, which is a replica of a service or a unit of a batch job, across all of its attempts.
 *
 * @param value the kind and name of the owner and the index of the task, such as {@code job/nightly/3}
 * @since 0.1
 */
public record TaskId(@JsonValue String value) implements Comparable<TaskId> {
    /** Validates the text of the id. */
    public TaskId {
        IdSyntax.checkPath(value, "task id");
    }

    /**
     * Returns the id with the given text.
     *
     * @param value the text of the id
     * @return the id, never null
     */
    @JsonCreator
    public static TaskId of(String value) {
        return new TaskId(value);
    }

    /**
     * Returns the id of a unit of a batch job.
     *
     * @param job the job
     * @param index the unit's index, from 0
     * @return the id, never null
     */
    public static TaskId of(JobName job, int index) {
        return new TaskId("job/" + job + "/" + index);
    }

    /**
     * Returns the id of a replica of a service.
     *
     * @param service the service
     * @param index the replica's index, from 0
     * @return the id, never null
     */
    public static TaskId of(ServiceName service, int index) {
        return new TaskId("service/" + service + "/" + index);
    }

    @Override
    public int compareTo(TaskId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
