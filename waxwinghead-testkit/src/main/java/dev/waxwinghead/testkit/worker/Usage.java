package dev.waxwinghead.testkit.worker;

/**
 * States what a task used.
 *
 * @param millicores the processor time used, in thousandths of a core
 * @param memoryBytes the memory used, in bytes
 * @param measuredAgoMillis how long ago this was measured, in milliseconds
 */
record Usage(long millicores, long memoryBytes, long measuredAgoMillis) {}
