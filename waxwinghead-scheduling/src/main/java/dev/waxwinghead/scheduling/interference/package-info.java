/** Learns from delayed measurements how much colocated tasks increase the latency of services. */
package dev.waxwinghead.scheduling.interference;
