package dev.waxwinghead.daemon.operator;

/** Enumerates the kinds of target that can be drained. */
public enum DrainKind {
    /** A worker, on which no new task is started. */
    WORKER,
    /** An upstream, to which no new request is sent. */
    UPSTREAM,
    /** The entry host that receives the request. */
    HOST
}
