/** Selects tasks to evict, and decides when tasks that increase the latency of a service are throttled or evicted. */
package dev.waxwinghead.scheduling.eviction;
