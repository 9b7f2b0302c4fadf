package dev.waxwinghead.daemon.classes;

/**
 * Tells what became of a new version of the document.
 *
 * @param outcome the outcome
 * @param version the version in force afterwards
 */
public record ReplaceResult(Outcome outcome, long version) {
    /** Lists what may become of a new version. */
    public enum Outcome {
        /** It is in force. */
        REPLACED(1),
        /** The same content was in force already. */
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
            throw new IllegalArgumentException("code " + code + " names no outcome");
        }
    }
}
