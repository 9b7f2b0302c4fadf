/** The file adapter of the storage port: a journal of checksummed segments and snapshots in one data folder. */
package dev.waxwinghead.coordination.journal;
