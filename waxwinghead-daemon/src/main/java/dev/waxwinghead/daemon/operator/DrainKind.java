package dev.waxwinghead.daemon.operator;

/** Lists what can be drained. */
public enum DrainKind {
    /** A worker: nothing new starts there. */
    WORKER,
    /** An upstream: no new request is sent there. */
    UPSTREAM,
    /** The entry host that is asked. */
    HOST
}
