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
 * Queues the frames to be written on one connection.
 *
 * <p>Each channel has its own queue, limited in bytes, and the queues are served round-robin: at the head of its queue,
 * a frame waits for at most one frame of each other channel, however long their queues are. A full queue drops its
 * oldest messages; calls and answers are refused.
 */
final class Outbox {
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition notEmpty = lock.newCondition();
    private final Map<PeerChannel, ChannelQueue> queues = new EnumMap<>(PeerChannel.class);
    private final Deque<ChannelQueue> roundRobin = new ArrayDeque<>();
    private final int maxQueuedBytes;
    private final TcpPeerCounters counters;
    private boolean closed;

    Outbox(int maxQueuedBytes, TcpPeerCounters counters) {
        this.maxQueuedBytes = maxQueuedBytes;
        this.counters = counters;
        for (PeerChannel channel : PeerChannel.values()) {
            queues.put(channel, new ChannelQueue());
        }
        roundRobin.addAll(queues.values());
    }

    /** Enqueues a frame; returns false if the frame was refused. */
    boolean offer(OutgoingFrame outgoing) {
        lock.lock();
        try {
            ChannelQueue queue = queues.get(outgoing.frame().channel());
            boolean accepted = !closed && queue.makeRoom(outgoing);
            if (accepted) {
                queue.add(outgoing);
                notEmpty.signal();
            } else if (outgoing.droppable()) {
                counters.countDroppedMessage();
            }
            return accepted;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Removes and returns the next frame.
     *
     * @param maxWaitNanos the maximum time to wait for a frame, in nanoseconds
     * @return the frame, null if none was queued in time or the outbox was closed
     */
    OutgoingFrame poll(long maxWaitNanos) throws InterruptedException {
        lock.lockInterruptibly();
        try {
            long remaining = maxWaitNanos;
            OutgoingFrame next = takeNext();
            while (next == null && remaining > 0 && !closed) {
                remaining = notEmpty.awaitNanos(remaining);
                next = takeNext();
            }
            return next;
        } finally {
            lock.unlock();
        }
    }

    /** Refuses further frames and abandons the queued ones. */
    void close(String reason) {
        List<OutgoingFrame> waiting = new ArrayList<>();
        lock.lock();
        try {
            closed = true;
            roundRobin.forEach(queue -> queue.drainTo(waiting));
            notEmpty.signalAll();
        } finally {
            lock.unlock();
        }
        waiting.forEach(outgoing -> outgoing.abandon(reason));
    }

    private OutgoingFrame takeNext() {
        for (int i = 0; i < queues.size(); i++) {
            ChannelQueue queue = roundRobin.poll();
            roundRobin.add(queue);
            OutgoingFrame next = queue.take();
            if (next != null) {
                return next;
            }
        }
        return null;
    }

    /** The queued frames of one channel. */
    private final class ChannelQueue {
        private final Deque<OutgoingFrame> waiting = new ArrayDeque<>();
        private long bytes;

        boolean makeRoom(OutgoingFrame outgoing) {
            int frameBytes = sizeOf(outgoing);
            Iterator<OutgoingFrame> oldest = waiting.iterator();
            while (outgoing.droppable() && bytes + frameBytes > maxQueuedBytes && oldest.hasNext()) {
                OutgoingFrame candidate = oldest.next();
                if (candidate.droppable()) {
                    oldest.remove();
                    bytes -= sizeOf(candidate);
                    counters.countDroppedMessage();
                }
            }
            return bytes + frameBytes <= maxQueuedBytes;
        }

        void add(OutgoingFrame outgoing) {
            waiting.add(outgoing);
            bytes += sizeOf(outgoing);
        }

        OutgoingFrame take() {
            OutgoingFrame first = waiting.poll();
            if (first != null) {
                bytes -= sizeOf(first);
            }
            return first;
        }

        void drainTo(List<OutgoingFrame> target) {
            target.addAll(waiting);
            waiting.clear();
            bytes = 0;
        }

        private static int sizeOf(OutgoingFrame outgoing) {
            return outgoing.frame().payload().length + Frame.MAX_OVERHEAD_BYTES;
        }
    }
}
