/** Benchmarks of placement, and the bench of the whole task policy in virtual time. */
package dev.waxwinghead.benchmarks.tasks;
