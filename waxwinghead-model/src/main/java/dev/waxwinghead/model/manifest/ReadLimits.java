package dev.waxwinghead.model.manifest;

import com.fasterxml.jackson.core.StreamReadConstraints;

/**
 * Holds the limits on texts that any program may send.
 *
 * @since 0.3
 */
public final class ReadLimits {
    /** The maximum depth of nested values; code that descends into a value overflows no stack within it. */
    public static final int MAX_NESTING = 64;

    private static final StreamReadConstraints CONSTRAINTS =
            StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING).build();

    private ReadLimits() {}

    /**
     * Returns the limits as constraints of the JSON library.
     *
     * @return the constraints, never null
     */
    public static StreamReadConstraints constraints() {
        return CONSTRAINTS;
    }
}
