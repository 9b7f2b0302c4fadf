/** Submitted jobs: the section of the shared state that holds jobs, the scheduling engine and the calls about jobs. */
package dev.waxwinghead.daemon.jobs;
