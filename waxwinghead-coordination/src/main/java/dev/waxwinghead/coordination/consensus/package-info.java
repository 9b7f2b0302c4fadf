/**
 * The Raft consensus algorithm as a deterministic state machine without I/O, threads or clocks. The state machine takes
 * messages, ticks and proposals and returns the data to write, send and apply. The implementation follows Ongaro,
 * "Consensus: Bridging Theory and Practice" (2014), with pre-vote, check-quorum, learners and single-member changes.
 */
package dev.waxwinghead.coordination.consensus;
