/** Chooses workers for tasks, over an index of what each worker holds. */
package dev.waxwinghead.scheduling.placement;
