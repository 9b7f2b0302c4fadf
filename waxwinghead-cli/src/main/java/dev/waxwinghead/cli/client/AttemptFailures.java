package dev.waxwinghead.cli.client;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;

/** Collects why the attempts of one request failed, and whether the request may have taken effect nevertheless. */
final class AttemptFailures {
    private final boolean mutating;
    private boolean mayHaveTakenEffect;
    private WaxwingheadException refusal;
    private String lastMessage = "no entry host was tried";
    private Throwable lastCause;

    /**
     * Creates an object for a request that has not been sent yet.
     *
     * @param mutating whether the request changes something
     */
    AttemptFailures(boolean mutating) {
        this.mutating = mutating;
    }

    void addRefusal(WaxwingheadException refusal) {
        this.refusal = refusal;
        boolean outcomeUnknown =
                refusal.kind() == ErrorKind.UNKNOWN_OUTCOME || refusal.kind() == ErrorKind.DEADLINE_EXCEEDED;
        mayHaveTakenEffect |= outcomeUnknown;
        lastMessage = refusal.getMessage();
        lastCause = refusal;
    }

    void addUnreachable(String entryHost, Exception cause) {
        lastMessage = "entry host " + entryHost + " is unreachable";
        lastCause = cause;
    }

    void addBrokenConnection(String entryHost, Exception cause) {
        mayHaveTakenEffect = true;
        lastMessage = "entry host " + entryHost + " did not return a complete response";
        lastCause = cause;
    }

    WaxwingheadException toException() {
        if (mutating && mayHaveTakenEffect) {
            return WaxwingheadException.of(
                    ErrorKind.UNKNOWN_OUTCOME,
                    lastMessage + ", and it is unknown whether the change took effect",
                    "run the command again with the same --change-id",
                    lastCause);
        }
        if (refusal != null) {
            return refusal;
        }
        return WaxwingheadException.of(
                ErrorKind.UNAVAILABLE,
                lastMessage + ", and no other entry host answered in time",
                "check --entry-hosts and that the entry hosts are running, or raise --timeout",
                lastCause);
    }
}
