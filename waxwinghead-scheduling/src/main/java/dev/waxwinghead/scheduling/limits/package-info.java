/** Admission of requests: rate and in-flight limits, and a fair queue that is bounded by deadlines. */
package dev.waxwinghead.scheduling.limits;
