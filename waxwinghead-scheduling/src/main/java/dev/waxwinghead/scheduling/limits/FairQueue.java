package dev.waxwinghead.scheduling.limits;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Queues waiting requests by weighted shares; each flow is a tenant and class.
 *
 * <p>Among flows the one with the smallest virtual start time goes first; within a flow the order is that of arrival.
 * Nothing bounds the length but the deadlines: a request whose deadline can't be met is refused on arrival or dropped
 * before it is sent. Not safe for use by several threads.
 *
 * @param <T> the type of the waiting requests
 * @see <a href="https://doi.org/10.1109/90.649569">Goyal, Vin, Cheng: Start-Time Fair Queueing</a>
 * @since 0.1
 */
public final class FairQueue<T> {
    private final Map<String, Flow<T>> flows = new HashMap<>();
    private final PriorityQueue<Flow<T>> order = new PriorityQueue<>(
            Comparator.comparingDouble((Flow<T> flow) -> flow.startTag).thenComparingLong(flow -> flow.sequence));
    private double virtualTime;
    private long sequence;
    private int size;

    private FairQueue() {}

    /**
     * Returns an empty queue.
     *
     * @param <T> the type of the waiting requests
     * @return the queue, never null
     */
    public static <T> FairQueue<T> create() {
        return new FairQueue<>();
    }

    /**
     * Returns how many requests wait.
     *
     * @return the number, 0 or more
     */
    public int size() {
        return size;
    }

    /**
     * Returns how many requests go before a new one of the flow, as the shares are now.
     *
     * @param name the flow
     * @param weight its weight, above 0
     * @return the number, 0 to {@link #size()}
     */
    public int ahead(String name, double weight) {
        double weights = weight;
        for (Flow<T> flow : order) {
            weights += flow.name.equals(name) ? 0 : flow.weight;
        }
        Flow<T> own = flows.get(name);
        int waiting = own == null ? 0 : own.waiting.size();
        double byShare = Math.ceil((waiting + 1) * weights / weight) - 1;
        return (int) Math.min(size, byShare);
    }

    /**
     * Adds a request at the end of its flow.
     *
     * @param name the flow
     * @param weight its weight, above 0
     * @param value the request
     * @param deadline when it must have been answered, in nanoseconds
     */
    public void add(String name, double weight, T value, long deadline) {
        Flow<T> flow = flows.computeIfAbsent(name, Flow::new);
        flow.weight = weight;
        flow.waiting.add(new Waiting<>(value, deadline));
        size++;
        if (flow.waiting.size() == 1) {
            flow.startTag = Math.max(virtualTime, flow.finishTag);
            enqueue(flow);
        }
    }

    /**
     * Returns the request that goes next, without removing it.
     *
     * @return the request, empty if none waits
     */
    public Optional<T> peek() {
        return Optional.ofNullable(order.peek()).map(flow -> flow.waiting.element().value);
    }

    /**
     * Removes the request that goes next.
     *
     * @return the request, empty if none waits
     */
    public Optional<T> poll() {
        Flow<T> flow = order.poll();
        if (flow == null) {
            return Optional.empty();
        }
        virtualTime = flow.startTag;
        T value = flow.waiting.remove().value;
        size--;
        flow.finishTag = flow.startTag + 1 / flow.weight;
        flow.startTag = flow.finishTag;
        if (!flow.waiting.isEmpty()) {
            enqueue(flow);
        } else if (order.isEmpty()) {
            flows.clear();
            virtualTime = 0;
        }
        return Optional.of(value);
    }

    /**
     * Removes the requests that can't be answered in time any more.
     *
     * @param latest the earliest deadline that can still be met, in nanoseconds
     * @return the removed requests
     */
    public List<T> removeLate(long latest) {
        List<T> late = new ArrayList<>();
        for (Flow<T> flow : new ArrayList<>(order)) {
            flow.waiting.removeIf(waiting -> waiting.isLate(latest, late));
            if (flow.waiting.isEmpty()) {
                order.remove(flow);
            }
        }
        size -= late.size();
        return late;
    }

    private void enqueue(Flow<T> flow) {
        flow.sequence = sequence++;
        order.add(flow);
    }

    /** The waiting requests of one tenant and class. */
    private static final class Flow<T> {
        private final String name;
        private final Deque<Waiting<T>> waiting = new ArrayDeque<>();
        private double weight;
        private double startTag;
        private double finishTag;
        private long sequence;

        private Flow(String name) {
            this.name = name;
        }
    }

    /** A waiting request. */
    private record Waiting<T>(T value, long deadline) {
        boolean isLate(long latest, List<T> late) {
            boolean missed = deadline - latest < 0;
            if (missed) {
                late.add(value);
            }
            return missed;
        }
    }
}
