/** Decisions on resending: which requests may be resent or hedged, and within what budget. */
package dev.waxwinghead.scheduling.retry;
