/** Chooses which tasks make room for others, and when tasks that harm a service are slowed down or moved. */
package dev.waxwinghead.scheduling.eviction;
