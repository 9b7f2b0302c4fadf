package dev.waxwinghead.testkit.worker;

import java.util.List;

/**
 * Represents the request body of a poll.
 *
 * @param worker the worker that polls
 * @param sequence the sequence number, which increases with each poll of the incarnation
 * @param schedulerTerm the highest scheduler term that the worker has seen
 * @param leaving whether the worker is leaving
 * @param tasks the reports of all tasks of the worker
 */
record PollRequest(
        WorkerDescription worker, long sequence, long schedulerTerm, boolean leaving, List<TaskReport> tasks) {}
