package dev.waxwinghead.testkit.worker;

import java.util.List;

/**
 * Holds the body of a poll.
 *
 * @param worker the worker that polls
 * @param schedulerTerm the highest term it has seen
 * @param leaving whether it is leaving
 * @param tasks every task that it has
 */
record PollRequest(WorkerDescription worker, long schedulerTerm, boolean leaving, List<TaskReport> tasks) {}
