/** Reconstructs the history of one job from collected log lines. */
package dev.waxwinghead.cli.explain;
