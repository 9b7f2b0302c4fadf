package dev.waxwinghead.testkit.worker;

/**
 * States what a task used.
 *
 * @param millicores the processor time used, in thousandths of a core
 * @param memoryBytes the memory used, in bytes
 * @param measuredAgoMillis how long ago this was measured, in milliseconds
 * @param latencyRatio the tail latency of a service's task as a multiple of its target; null if not measured
 */
record Usage(long millicores, long memoryBytes, long measuredAgoMillis, Double latencyRatio) {}
