/** A load program: sends requests to entry hosts, checks each answer and measures latency. */
package dev.waxwinghead.testkit.load;
