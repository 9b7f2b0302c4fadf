/** Measures the replicated log over TCP on loopback and file storage; run by hand. */
package dev.waxwinghead.benchmarks.coordination;
