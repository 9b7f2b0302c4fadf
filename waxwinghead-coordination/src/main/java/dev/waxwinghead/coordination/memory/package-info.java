/** Replica storage that lives in memory, for learners without a disk and for tests. */
package dev.waxwinghead.coordination.memory;
