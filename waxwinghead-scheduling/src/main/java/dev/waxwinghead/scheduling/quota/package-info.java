/** Quotas of teams, with borrowing of what other teams leave free. */
package dev.waxwinghead.scheduling.quota;
