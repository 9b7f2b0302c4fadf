package dev.waxwinghead.testkit.worker;

import java.util.List;

/**
 * Holds the body of a poll.
 *
 * @param worker the worker that polls
 * @param sequence rises with each poll of the incarnation
 * @param schedulerTerm the highest term it has seen
 * @param leaving whether it is leaving
 * @param tasks every task that it has
 */
record PollRequest(
        WorkerDescription worker, long sequence, long schedulerTerm, boolean leaving, List<TaskReport> tasks) {}
