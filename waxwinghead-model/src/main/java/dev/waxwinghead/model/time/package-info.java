/** Monotonic time and deadlines. */
package dev.waxwinghead.model.time;
