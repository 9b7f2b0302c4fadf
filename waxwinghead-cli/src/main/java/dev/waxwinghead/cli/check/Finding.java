package dev.waxwinghead.cli.check;

/**
 * Describes a fault that a check has found.
 *
 * @param kind the kind of fault, never null
 * @param line the line in the text, from 1
 * @param entry the kind and name of the manifest, such as {@code Job/nightly}; null if the manifest could not be read
 * @param message what was found, never null
 * @param remedy how to correct it, never null
 * @since 0.2
 */
public record Finding(Kind kind, int line, String entry, String message, String remedy) {
    /** Enumerates the kinds of fault. */
    public enum Kind {
        /** A field is unknown, missing or out of its range, or a manifest appears twice. */
        INVALID("invalid"),
        /** A rule or entry that nothing can match. */
        NEVER_MATCHES("never-matches"),
        /** Limits that cannot be met together. */
        CONTRADICTION("contradiction");

        private final String code;

        Kind(String code) {
            this.code = code;
        }

        /**
         * Returns the code in the output for programs.
         *
         * @return the code, never null
         */
        public String code() {
            return code;
        }
    }
}
