/** Benchmarks of the modules and the bench of the scheduling policy. */
package dev.waxwinghead.benchmarks;
