package dev.waxwinghead.coordination.consensus;

import dev.waxwinghead.coordination.storage.LogEntry;
import dev.waxwinghead.model.id.ReplicaId;
import java.util.List;

/**
 * Lists the messages between replicas.
 *
 * @since 0.1
 */
public sealed interface Message {
    /**
     * Returns what all messages carry.
     *
     * @return the header, never null
     */
    Header header();

    /**
     * Holds what all messages carry.
     *
     * @param group the group of the sender; 0 while it has none
     * @param from the sender
     * @param to the receiver; a replica drops messages for another one, an earlier one of its host among them
     * @param term the term of the sender; in a pre-vote the term that it would start
     */
    record Header(long group, ReplicaId from, ReplicaId to, long term) {}

    /**
     * Asks for a vote.
     *
     * @param header the header
     * @param preVote whether the vote would only be given, without a change of term
     * @param lastIndex the index of the sender's last entry
     * @param lastTerm the term of that entry
     */
    record VoteRequest(Header header, boolean preVote, long lastIndex, long lastTerm) implements Message {}

    /**
     * Answers a {@link VoteRequest}.
     *
     * @param header the header; a granted pre-vote repeats the term of the request
     * @param preVote whether the request was a pre-vote
     * @param granted whether the vote is given
     */
    record VoteResponse(Header header, boolean preVote, boolean granted) implements Message {}

    /**
     * Carries entries, or none as a heartbeat.
     *
     * @param header the header
     * @param previousIndex the index of the entry before the first
     * @param previousTerm the term of that entry
     * @param commitIndex up to where the leader knows the log to be committed
     * @param round the leader's newest round of read confirmations
     * @param entries consecutive entries
     */
    record AppendRequest(
            Header header, long previousIndex, long previousTerm, long commitIndex, long round, List<LogEntry> entries)
            implements Message {
        /** Copies the entries. */
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
     * @param index the last index known to match, or after a refusal the last one that may match
     * @param round the round of the request
     */
    record AppendResponse(Header header, boolean accepted, long previousIndex, long index, long round)
            implements Message {}

    /**
     * Carries a part of a snapshot.
     *
     * @param header the header
     * @param lastIndex the index of the last entry in the snapshot
     * @param lastTerm the term of that entry
     * @param membership the membership in force at that entry
     * @param totalBytes the length of the whole state
     * @param offset the position of the part in the state
     * @param data the part
     * @param round the leader's newest round of read confirmations
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
            long round)
            implements Message {}

    /**
     * Answers a {@link SnapshotChunk} that was not the last.
     *
     * @param header the header
     * @param lastIndex the index of the last entry in the snapshot
     * @param nextOffset the position of the part to send next
     * @param round the round of the chunk
     */
    record SnapshotResponse(Header header, long lastIndex, long nextOffset, long round) implements Message {}

    /**
     * Tells a voter that the sender leads no longer, so that the next election need not wait for its silence.
     *
     * @param header the header
     */
    record Resignation(Header header) implements Message {}
}
