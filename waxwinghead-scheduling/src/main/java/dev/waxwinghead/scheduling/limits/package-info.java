/** Request admission: rate limits, in-flight limits and a fair queue bounded by deadlines. */
package dev.waxwinghead.scheduling.limits;
