/** Benchmarks of placement, of scheduler memory, and of the whole task policy in virtual time. */
package dev.waxwinghead.benchmarks.tasks;
