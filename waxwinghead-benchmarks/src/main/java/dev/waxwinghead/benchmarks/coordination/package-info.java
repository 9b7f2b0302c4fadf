/** Benchmarks of the replicated log with TCP over the loopback interface and file storage, run by hand. */
package dev.waxwinghead.benchmarks.coordination;
