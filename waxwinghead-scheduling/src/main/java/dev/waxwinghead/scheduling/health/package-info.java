/** Tells workers that fail their tasks from jobs that fail everywhere. */
package dev.waxwinghead.scheduling.health;
