package dev.waxwinghead.coordination.consensus;

import dev.waxwinghead.coordination.log.LogStatus.Member;
import dev.waxwinghead.coordination.storage.Snapshot;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/** Tracks how far one member follows its leader. */
final class Progress {
    Member member;
    Mode mode = Mode.PROBE;
    long matchIndex;
    long nextIndex;
    long round;
    long lastHeard;
    /** The commit index that the member was last told. */
    long announcedCommit;
    /** Whether a probe is on its way and unanswered. */
    boolean probing;
    /** The snapshot being sent in {@link Mode#SNAPSHOT}. */
    Optional<Snapshot> sending = Optional.empty();
    /** The position of the next part of the snapshot. */
    long offset;

    private final Deque<Long> inflight = new ArrayDeque<>();

    Progress(Member member, long nextIndex, long now) {
        this.member = member;
        this.nextIndex = nextIndex;
        this.lastHeard = now;
    }

    /** Lists how entries reach a member. */
    enum Mode {
        /** One message at a time, until the matching position is known. */
        PROBE,
        /** Messages follow each other without waiting for answers. */
        REPLICATE,
        /** The member needs a snapshot first. */
        SNAPSHOT
    }

    boolean hasRoom(int window) {
        return mode == Mode.REPLICATE ? inflight.size() < window : mode == Mode.PROBE && !probing;
    }

    void sent(long lastIndex) {
        if (mode == Mode.REPLICATE) {
            inflight.add(lastIndex);
            nextIndex = lastIndex + 1;
        } else {
            probing = true;
        }
    }

    void matched(long index) {
        matchIndex = Math.max(matchIndex, index);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        probing = false;
        while (!inflight.isEmpty() && inflight.peek() <= matchIndex) {
            inflight.poll();
        }
        if (mode == Mode.SNAPSHOT && sending.isPresent() && sending.get().lastIndex() > matchIndex) {
            return;
        }
        mode = Mode.REPLICATE;
        sending = Optional.empty();
    }

    void refused(long previousIndex, long hint) {
        if (mode == Mode.SNAPSHOT || previousIndex <= matchIndex) {
            return;
        }
        probe(Math.min(previousIndex, hint + 1));
    }

    void probe(long next) {
        mode = Mode.PROBE;
        probing = false;
        inflight.clear();
        nextIndex = Math.max(next, matchIndex + 1);
    }

    void startSnapshot(Snapshot snapshot) {
        mode = Mode.SNAPSHOT;
        sending = Optional.of(snapshot);
        offset = 0;
        inflight.clear();
    }
}
