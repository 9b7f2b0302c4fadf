package dev.waxwinghead.cli.client;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;

/** Remembers why the attempts of one request failed, to tell in the end whether it may have taken effect. */
final class Attempts {
    private final boolean changes;
    private boolean mayHaveTakenEffect;
    private WaxwingheadException refusal;
    private String lastFault = "no entry host was tried";
    private Throwable lastCause;

    /**
     * Starts without attempts.
     *
     * @param changes whether the request changes something
     */
    Attempts(boolean changes) {
        this.changes = changes;
    }

    void refused(WaxwingheadException refusal) {
        this.refusal = refusal;
        boolean open = refusal.kind() == ErrorKind.UNKNOWN_OUTCOME || refusal.kind() == ErrorKind.DEADLINE_EXCEEDED;
        mayHaveTakenEffect |= open;
        lastFault = refusal.getMessage();
        lastCause = refusal;
    }

    void unreached(String entryHost, Exception cause) {
        lastFault = "entry host " + entryHost + " can't be reached";
        lastCause = cause;
    }

    void brokenOff(String entryHost, Exception cause) {
        mayHaveTakenEffect = true;
        lastFault = "entry host " + entryHost + " gave no whole answer";
        lastCause = cause;
    }

    WaxwingheadException failure() {
        if (changes && mayHaveTakenEffect) {
            return WaxwingheadException.of(
                    ErrorKind.UNKNOWN_OUTCOME,
                    lastFault + ", and whether the change took effect is open",
                    "run the command again with the same --change-id",
                    lastCause);
        }
        if (refusal != null) {
            return refusal;
        }
        return WaxwingheadException.of(
                ErrorKind.UNAVAILABLE,
                lastFault + ", and none of the others answered in time",
                "check --entry-hosts and that the entry hosts run, or raise --timeout",
                lastCause);
    }
}
