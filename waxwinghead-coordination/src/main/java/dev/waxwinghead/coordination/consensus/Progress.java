package dev.waxwinghead.coordination.consensus;

import dev.waxwinghead.coordination.log.LogStatus.Member;
import dev.waxwinghead.coordination.storage.Snapshot;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/** Tracks the replication progress of a member, as seen by the leader. */
final class Progress {
    Member member;
    Mode mode = Mode.PROBE;
    long matchIndex;
    long nextIndex;
    long readRound;
    long lastHeard;
    /** When the member last stored entries or had all committed ones. */
    long lastStored;
    /** Whether the member answered last that it can't store entries. */
    boolean refusesWrites;
    /** The commit index that was last sent to the member. */
    long announcedCommit;
    /** Whether a probe was sent and not answered yet. */
    boolean awaitingProbeResponse;
    /** The snapshot being sent in {@link Mode#SNAPSHOT}. */
    Optional<Snapshot> outgoingSnapshot = Optional.empty();
    /** The position of the next chunk of the snapshot, in bytes. */
    long snapshotOffset;

    private final Deque<Long> inflight = new ArrayDeque<>();

    Progress(Member member, long nextIndex, long now) {
        this.member = member;
        this.nextIndex = nextIndex;
        this.lastHeard = now;
        this.lastStored = now;
    }

    /** Enumerates the ways to bring a member up to date. */
    enum Mode {
        /** The leader sends one message at a time until the last matching index is known. */
        PROBE,
        /** The leader sends messages without waiting for the answers to earlier ones. */
        REPLICATE,
        /** The leader sends a snapshot because the member lacks entries that the log no longer holds. */
        SNAPSHOT
    }

    boolean mayProbeOrSend(int window) {
        return mode == Mode.REPLICATE ? inflight.size() < window : mode == Mode.PROBE && !awaitingProbeResponse;
    }

    void recordSent(long lastIndex) {
        if (mode == Mode.REPLICATE) {
            inflight.add(lastIndex);
            nextIndex = lastIndex + 1;
        } else {
            awaitingProbeResponse = true;
        }
    }

    void recordMatch(long index, long now) {
        if (index > matchIndex) {
            matchIndex = index;
            lastStored = now;
        }
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        awaitingProbeResponse = false;
        while (!inflight.isEmpty() && inflight.peek() <= matchIndex) {
            inflight.poll();
        }
        if (mode == Mode.SNAPSHOT
                && outgoingSnapshot.isPresent()
                && outgoingSnapshot.get().lastIndex() > matchIndex) {
            return;
        }
        mode = Mode.REPLICATE;
        outgoingSnapshot = Optional.empty();
    }

    void recordRefusal(long previousIndex, long lastPossibleMatch) {
        if (mode == Mode.SNAPSHOT || previousIndex <= matchIndex) {
            return;
        }
        startProbing(Math.min(previousIndex, lastPossibleMatch + 1));
    }

    void startProbing(long next) {
        mode = Mode.PROBE;
        awaitingProbeResponse = false;
        inflight.clear();
        nextIndex = Math.max(next, matchIndex + 1);
    }

    void startSnapshot(Snapshot snapshot) {
        mode = Mode.SNAPSHOT;
        outgoingSnapshot = Optional.of(snapshot);
        snapshotOffset = 0;
        inflight.clear();
    }
}
