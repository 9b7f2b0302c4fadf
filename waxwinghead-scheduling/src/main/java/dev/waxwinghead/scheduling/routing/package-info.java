/** Choice of an upstream for a request: load, recent latency, data centres, outlier ejection and shared slots. */
package dev.waxwinghead.scheduling.routing;
