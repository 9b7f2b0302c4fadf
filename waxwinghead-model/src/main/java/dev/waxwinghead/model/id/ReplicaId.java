package dev.waxwinghead.model.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one incarnation of a replica of the shared state. A host that has lost its data folder rejoins with a new
 * replica id.
 *
 * @param value the text of the id, made of letters, digits, {@code .}, {@code _}, {@code :} and {@code -}
 * @since 0.1
 */
public record ReplicaId(@JsonValue String value) implements Comparable<ReplicaId> {
    /** Validates the text of the id. */
    public ReplicaId {
        IdSyntax.check(value, "replica id");
    }

    /**
     * Returns the id with the given text.
     *
     * @param value the text of the id
     * @return the id, never null
     * @throws dev.waxwinghead.model.error.WaxwingheadException if the text is null, empty or too long, or contains an
     *     invalid character
     */
    @JsonCreator
    public static ReplicaId of(String value) {
        return new ReplicaId(value);
    }

    @Override
    public int compareTo(ReplicaId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
