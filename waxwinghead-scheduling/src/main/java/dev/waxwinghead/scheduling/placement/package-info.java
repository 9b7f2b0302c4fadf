/** Chooses workers for tasks with an index of the free resources of each worker. */
package dev.waxwinghead.scheduling.placement;
