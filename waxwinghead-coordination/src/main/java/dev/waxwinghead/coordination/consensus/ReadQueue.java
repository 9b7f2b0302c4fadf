package dev.waxwinghead.coordination.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** Queues reads until a majority has confirmed the leader in a round that started after the read was requested. */
final class ReadQueue {
    private final Deque<PendingRead> pending = new ArrayDeque<>();
    private final List<Ready.ConfirmedRead> confirmed = new ArrayList<>();
    private final List<Long> failed = new ArrayList<>();
    private long round;

    long round() {
        return round;
    }

    void add(long id) {
        pending.add(new PendingRead(id, round + 1));
    }

    void fail(long id) {
        failed.add(id);
    }

    /** Starts a new round if there are reads that wait for one. Returns whether a round was started. */
    boolean startRound() {
        if (pending.isEmpty() || pending.peekLast().round() <= round) {
            return false;
        }
        round++;
        return true;
    }

    void confirm(long confirmedRound, long commitIndex) {
        while (!pending.isEmpty() && pending.peek().round() <= confirmedRound) {
            confirmed.add(new Ready.ConfirmedRead(pending.poll().id(), commitIndex));
        }
    }

    void failAll() {
        pending.forEach(read -> failed.add(read.id()));
        pending.clear();
    }

    List<Ready.ConfirmedRead> takeConfirmed() {
        List<Ready.ConfirmedRead> taken = List.copyOf(confirmed);
        confirmed.clear();
        return taken;
    }

    List<Long> takeFailed() {
        List<Long> taken = List.copyOf(failed);
        failed.clear();
        return taken;
    }

    /** Represents a read and the round that confirms the read. */
    private record PendingRead(long id, long round) {}
}
