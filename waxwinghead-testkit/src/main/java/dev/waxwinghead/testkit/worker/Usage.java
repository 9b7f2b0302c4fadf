package dev.waxwinghead.testkit.worker;

/**
 * Represents the measured usage of a task.
 *
 * @param millicores the processor time used, in thousandths of a core
 * @param memoryBytes the memory used, in bytes
 * @param measuredAgoMillis the age of the measurement, in milliseconds
 * @param latencyRatio the tail latency of a service task as a multiple of its target, null if not measured
 */
record Usage(long millicores, long memoryBytes, long measuredAgoMillis, Double latencyRatio) {}
