/** Quotas of teams, and borrowing of resources that other teams leave unused. */
package dev.waxwinghead.scheduling.quota;
