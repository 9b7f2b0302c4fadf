package dev.waxwinghead.daemon.classes;

/**
 * The result of proposing a document of job classes.
 *
 * @param outcome the outcome of the proposal
 * @param version the version in force afterwards
 */
public record ReplaceResult(Outcome outcome, long version) {
    /** The outcome of proposing a document. */
    public enum Outcome {
        /** The document is in force. */
        REPLACED(1),
        /** The same document was in force already. */
        REPEATED(2),
        /** A higher version is in force. */
        SUPERSEDED(3),
        /** Other content is in force under the same version. */
        CONFLICT(4);

        private final int code;

        Outcome(int code) {
            this.code = code;
        }

        int code() {
            return code;
        }

        static Outcome ofCode(int code) {
            for (Outcome outcome : values()) {
                if (outcome.code == code) {
                    return outcome;
                }
            }
            throw new IllegalArgumentException("outcome code " + code + " is unknown");
        }
    }
}
