/** Request routing: choice of an upstream by load, latency and data centre, outlier ejection, and shared slots. */
package dev.waxwinghead.scheduling.routing;
