package dev.waxwinghead.coordination.consensus;

import dev.waxwinghead.coordination.storage.LogEntry;
import dev.waxwinghead.model.id.ReplicaId;
import java.util.List;

/**
 * Represents a consensus message between replicas.
 *
 * @since 0.1
 */
public sealed interface Message {
    /**
     * Returns the header.
     *
     * @return the header, never null
     */
    Header header();

    /**
     * Holds the fields that all messages share.
     *
     * @param group the group id of the sender; 0 if the sender has no group
     * @param from the sending replica
     * @param to the receiving replica; a replica drops messages for others, such as for an earlier replica of its host
     * @param term the term of the sender; in a pre-vote request the term that the sender would start
     */
    record Header(long group, ReplicaId from, ReplicaId to, long term) {}

    /**
     * Requests a vote.
     *
     * @param header the header
     * @param preVote whether the request only asks if the vote would be granted, without a change of term
     * @param lastIndex the index of the last entry of the sender
     * @param lastTerm the term of that entry
     */
    record VoteRequest(Header header, boolean preVote, long lastIndex, long lastTerm) implements Message {}

    /**
     * Answers a {@link VoteRequest}.
     *
     * @param header the header; its term is the term of the request if a pre-vote is granted
     * @param preVote whether the request was a pre-vote
     * @param granted whether the vote is granted
     */
    record VoteResponse(Header header, boolean preVote, boolean granted) implements Message {}

    /**
     * Carries log entries; without entries, the message is a heartbeat or a probe.
     *
     * @param header the header
     * @param previousIndex the index of the entry before the first carried entry
     * @param previousTerm the term of that entry
     * @param commitIndex the last index that the leader knows to be committed
     * @param readRound the newest read confirmation round of the leader
     * @param entries consecutive entries, may be empty
     */
    record AppendRequest(
            Header header,
            long previousIndex,
            long previousTerm,
            long commitIndex,
            long readRound,
            List<LogEntry> entries)
            implements Message {
        /** Creates a request with an unmodifiable copy of the entries. */
        public AppendRequest {
            entries = List.copyOf(entries);
        }
    }

    /**
     * Answers an {@link AppendRequest} or the last {@link SnapshotChunk}.
     *
     * @param header the header
     * @param accepted whether the entries are on disk
     * @param previousIndex the previous index of the request
     * @param index the last index known to match; after a refusal the last index that may match
     * @param readRound the read confirmation round of the request
     */
    record AppendResponse(Header header, boolean accepted, long previousIndex, long index, long readRound)
            implements Message {
        /**
         * Returns the answer of a replica that follows the leader but can't store entries.
         *
         * @param header the header
         * @param readRound the read confirmation round of the request
         * @return the answer, never null
         */
        static AppendResponse notStored(Header header, long readRound) {
            return new AppendResponse(header, false, 0, 0, readRound);
        }

        /**
         * Returns whether the sender can't store entries. No other refusal has previous index 0, which always matches.
         *
         * @return true for an answer of {@link #notStored}
         */
        boolean isNotStored() {
            return !accepted && previousIndex == 0 && index == 0;
        }
    }

    /**
     * Carries a chunk of a snapshot.
     *
     * @param header the header
     * @param lastIndex the index of the last entry in the snapshot
     * @param lastTerm the term of that entry
     * @param membership the membership in force at that entry
     * @param totalBytes the length of the whole state, in bytes
     * @param offset the position of the chunk in the state, in bytes
     * @param data the bytes of the chunk
     * @param readRound the newest read confirmation round of the leader
     */
    @SuppressWarnings("ArrayRecordComponent") // The arrays are shared, never compared.
    record SnapshotChunk(
            Header header,
            long lastIndex,
            long lastTerm,
            byte[] membership,
            long totalBytes,
            long offset,
            byte[] data,
            long readRound)
            implements Message {}

    /**
     * Answers a {@link SnapshotChunk} other than the last.
     *
     * @param header the header
     * @param lastIndex the index of the last entry in the snapshot
     * @param nextOffset the position of the next chunk to send, in bytes
     * @param readRound the read confirmation round of the chunk
     */
    record SnapshotResponse(Header header, long lastIndex, long nextOffset, long readRound) implements Message {}

    /**
     * Notifies a voter that the sender has given up leadership, so that the next election starts without waiting for
     * the election timeout.
     *
     * @param header the header
     */
    record Resignation(Header header) implements Message {}
}
