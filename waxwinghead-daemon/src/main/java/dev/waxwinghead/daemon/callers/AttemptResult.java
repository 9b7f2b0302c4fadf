package dev.waxwinghead.daemon.callers;

import dev.waxwinghead.scheduling.retry.AttemptEnd;

/**
 * Tells how an attempt ended.
 *
 * @param end how it ended
 * @param answer the answer if it ended as answered, else null
 * @param reason what went wrong, empty if nothing did
 */
record AttemptResult(AttemptEnd end, UpstreamAnswer answer, String reason) {
    static AttemptResult answered(UpstreamAnswer answer) {
        return new AttemptResult(AttemptEnd.ANSWERED, answer, "");
    }

    static AttemptResult failed(AttemptEnd end, String reason) {
        return new AttemptResult(end, null, reason);
    }
}
