/**
 * Implements {@link dev.waxwinghead.coordination.storage.ReplicaStorage} with files: a journal of checksummed segments
 * and snapshots in one data folder.
 */
package dev.waxwinghead.coordination.journal;
