/** Submitted jobs: their section of the shared state, the engine that schedules them, and the calls about them. */
package dev.waxwinghead.daemon.jobs;
