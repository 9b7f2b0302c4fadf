/** Worker health: distinguishes faulty workers from jobs that fail on every worker. */
package dev.waxwinghead.scheduling.health;
