package dev.waxwinghead.coordination.tcp;

import dev.waxwinghead.coordination.peer.PeerChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Holds the frames that wait to be written on one connection.
 *
 * <p>Each channel has a queue of its own, bounded by bytes, and the queues take turns: a frame waits for at most one
 * frame of each other channel, however much waits there. A full queue drops its oldest messages; calls and answers are
 * refused.
 */
final class Outbox {
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition filled = lock.newCondition();
    private final Map<PeerChannel, Queue> queues = new EnumMap<>(PeerChannel.class);
    private final Deque<Queue> turns = new ArrayDeque<>();
    private final int maxQueuedBytes;
    private final TcpPeerCounters counters;
    private boolean closed;

    Outbox(int maxQueuedBytes, TcpPeerCounters counters) {
        this.maxQueuedBytes = maxQueuedBytes;
        this.counters = counters;
        for (PeerChannel channel : PeerChannel.values()) {
            queues.put(channel, new Queue());
        }
        turns.addAll(queues.values());
    }

    /** Adds a frame; returns false if it was not taken. */
    boolean offer(Outgoing outgoing) {
        lock.lock();
        try {
            Queue queue = queues.get(outgoing.frame().channel());
            boolean taken = !closed && queue.makeRoom(outgoing);
            if (taken) {
                queue.add(outgoing);
                filled.signal();
            } else if (outgoing.droppable()) {
                counters.countDroppedMessage();
            }
            return taken;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Takes the next frame.
     *
     * @param maxWaitNanos how long to wait for one, in nanoseconds
     * @return the frame, null if none came in time or the outbox was closed
     */
    Outgoing poll(long maxWaitNanos) throws InterruptedException {
        lock.lockInterruptibly();
        try {
            long remaining = maxWaitNanos;
            Outgoing next = takeNext();
            while (next == null && remaining > 0 && !closed) {
                remaining = filled.awaitNanos(remaining);
                next = takeNext();
            }
            return next;
        } finally {
            lock.unlock();
        }
    }

    /** Refuses further frames and abandons those that wait. */
    void close(String reason) {
        List<Outgoing> waiting = new ArrayList<>();
        lock.lock();
        try {
            closed = true;
            turns.forEach(queue -> queue.drainTo(waiting));
            filled.signalAll();
        } finally {
            lock.unlock();
        }
        waiting.forEach(outgoing -> outgoing.abandon(reason));
    }

    private Outgoing takeNext() {
        for (int i = 0; i < queues.size(); i++) {
            Queue queue = turns.poll();
            turns.add(queue);
            Outgoing next = queue.take();
            if (next != null) {
                return next;
            }
        }
        return null;
    }

    /** The frames of one channel. */
    private final class Queue {
        private final Deque<Outgoing> waiting = new ArrayDeque<>();
        private long bytes;

        boolean makeRoom(Outgoing outgoing) {
            int wanted = length(outgoing);
            Iterator<Outgoing> oldest = waiting.iterator();
            while (outgoing.droppable() && bytes + wanted > maxQueuedBytes && oldest.hasNext()) {
                Outgoing candidate = oldest.next();
                if (candidate.droppable()) {
                    oldest.remove();
                    bytes -= length(candidate);
                    counters.countDroppedMessage();
                }
            }
            return bytes + wanted <= maxQueuedBytes;
        }

        void add(Outgoing outgoing) {
            waiting.add(outgoing);
            bytes += length(outgoing);
        }

        Outgoing take() {
            Outgoing first = waiting.poll();
            if (first != null) {
                bytes -= length(first);
            }
            return first;
        }

        void drainTo(List<Outgoing> target) {
            target.addAll(waiting);
            waiting.clear();
            bytes = 0;
        }

        private static int length(Outgoing outgoing) {
            return outgoing.frame().payload().length + Frame.MAX_OVERHEAD_BYTES;
        }
    }
}
