/** Benches of routing: policies in virtual time beside baselines, and what an entry host adds on loopback. */
package dev.waxwinghead.benchmarks.callers;
