/** Retry policy: which requests may be resent or hedged, and the budget for doing so. */
package dev.waxwinghead.scheduling.retry;
