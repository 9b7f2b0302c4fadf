/** Benchmarks of the modules and of the scheduling policy. */
package dev.waxwinghead.benchmarks;
