/** Benchmarks of the journal and of the TCP network between entry hosts, run by hand. */
package dev.waxwinghead.benchmarks.storage;
