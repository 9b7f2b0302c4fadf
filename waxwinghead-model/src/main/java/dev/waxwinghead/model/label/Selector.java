package dev.waxwinghead.model.label;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.List;

/**
 * Selects workers or tasks by their labels, which must meet every requirement.
 *
 * @param requirements the requirements; an empty list selects everything
 * @since 0.1
 */
public record Selector(@JsonValue List<Requirement> requirements) {
    /** Selects everything. */
    public static final Selector ALL = new Selector(List.of());

    /** Copies the requirements. */
    public Selector {
        requirements = List.copyOf(requirements);
    }

    /**
     * Creates a selector.
     *
     * @param requirements the requirements; null means none
     * @return the selector, never null
     */
    @JsonCreator
    public static Selector of(List<Requirement> requirements) {
        return requirements == null ? ALL : new Selector(requirements);
    }

    /**
     * Returns whether the labels meet every requirement.
     *
     * @param labels the labels to compare
     * @return true if the labels meet every requirement
     */
    public boolean matches(Labels labels) {
        return requirements.stream().allMatch(requirement -> requirement.matches(labels));
    }

    /**
     * Returns whether the selector has no requirement.
     *
     * @return true if the selector selects everything
     */
    public boolean selectsAll() {
        return requirements.isEmpty();
    }
}
