package dev.waxwinghead.daemon.callers;

import dev.waxwinghead.scheduling.retry.AttemptEnd;

/**
 * Represents the result of an attempt.
 *
 * @param end how the attempt ended
 * @param answer the answer, null unless the attempt was answered
 * @param reason the reason for a failure, empty if the attempt was answered
 */
record AttemptResult(AttemptEnd end, UpstreamAnswer answer, String reason) {
    static AttemptResult answered(UpstreamAnswer answer) {
        return new AttemptResult(AttemptEnd.ANSWERED, answer, "");
    }

    static AttemptResult failed(AttemptEnd end, String reason) {
        return new AttemptResult(end, null, reason);
    }
}
