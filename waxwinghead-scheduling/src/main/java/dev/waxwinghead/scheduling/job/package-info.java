/**
 * Submitted jobs: their stored state, the transitions of their tasks, and the scheduler that assigns tasks to workers.
 */
package dev.waxwinghead.scheduling.job;
