/** Learns what tasks use beside what they are declared to need, for choosing among workers only. */
package dev.waxwinghead.scheduling.sizing;
