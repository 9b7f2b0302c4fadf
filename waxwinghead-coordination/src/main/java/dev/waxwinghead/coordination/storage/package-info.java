/** The storage interface of a replica: identity, hard state, log entries and the newest snapshot. */
package dev.waxwinghead.coordination.storage;
