package dev.waxwinghead.daemon.callers;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import java.util.Set;

/** Enumerates the kinds of request, which determine whether a request may be resent. */
enum CallKind {
    /** May run any number of times. */
    IDEMPOTENT("idempotent"),
    /** Runs at most once; resends carry the same key. */
    KEYED("keyed"),
    /** Sent at most once and never resent. */
    SINGLE("single"),
    /** Stays open for as long as the upstream sends events. */
    FEED("feed");

    private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");

    private final String text;

    CallKind(String text) {
        this.text = text;
    }

    String text() {
        return text;
    }

    boolean idempotent() {
        return this == IDEMPOTENT || this == FEED;
    }

    static CallKind of(String text, boolean hasKey, String method) {
        boolean safe = SAFE_METHODS.contains(method);
        if (text == null) {
            return defaultKind(hasKey, safe);
        }
        for (CallKind kind : values()) {
            if (kind != SINGLE && kind.text.equals(text)) {
                return kind;
            }
        }
        throw WaxwingheadException.of(
                ErrorKind.INVALID_INPUT,
                "Waxwinghead-Kind is '" + text + "'",
                "use idempotent, keyed or feed, or leave it out");
    }

    private static CallKind defaultKind(boolean hasKey, boolean safe) {
        if (hasKey) {
            return KEYED;
        }
        return safe ? IDEMPOTENT : SINGLE;
    }
}
