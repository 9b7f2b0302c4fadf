/** Benchmarks of routing: compares routing policies with baselines in a simulation in virtual time. */
package dev.waxwinghead.benchmarks.callers;
