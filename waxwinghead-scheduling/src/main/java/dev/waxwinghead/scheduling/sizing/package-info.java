/** Estimates of the processor time that tasks actually use, applied only to the choice among workers. */
package dev.waxwinghead.scheduling.sizing;
