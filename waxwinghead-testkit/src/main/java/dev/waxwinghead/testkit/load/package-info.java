/** A load generator that sends requests to entry hosts, checks each response and measures latency. */
package dev.waxwinghead.testkit.load;
