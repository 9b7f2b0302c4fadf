/**
 * The consensus algorithm as a deterministic state machine without I/O, threads or clocks: it takes messages, ticks and
 * proposals and returns what to write, send and apply. It follows Ongaro, "Consensus: Bridging Theory and Practice"
 * (2014), with pre-vote, check-quorum, learners and single-member changes.
 */
package dev.waxwinghead.coordination.consensus;
