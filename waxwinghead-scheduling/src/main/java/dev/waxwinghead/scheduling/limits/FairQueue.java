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
 * Queues waiting requests with start-time fair queueing; each combination of tenant and traffic class is a flow.
 *
 * <p>The flow with the smallest virtual start time is served first; within a flow the order is first in, first out.
 * Deadlines are the only bound on the length: callers refuse a request on arrival, or drop it before it is sent, if its
 * deadline can't be met. Not thread-safe.
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
     * Returns the number of waiting requests.
     *
     * @return the number of requests, 0 or more
     */
    public int size() {
        return size;
    }

    /**
     * Returns the estimated number of requests that are served before a new request of a flow, given the current
     * weights.
     *
     * @param name the name of the flow
     * @param weight the flow's weight, above 0
     * @return the number of requests, 0 to {@link #size()}
     */
    public int requestsAhead(String name, double weight) {
        double weights = weight;
        for (Flow<T> flow : order) {
            weights += flow.name.equals(name) ? 0 : flow.weight;
        }
        Flow<T> own = flows.get(name);
        int waiting = own == null ? 0 : own.waiting.size();
        double aheadByWeight = Math.ceil((waiting + 1) * weights / weight) - 1;
        return (int) Math.min(size, aheadByWeight);
    }

    /**
     * Adds a request at the end of its flow.
     *
     * @param name the name of the flow
     * @param weight the flow's weight, above 0
     * @param value the request
     * @param deadline the time by which the request must be answered, in nanoseconds
     */
    public void add(String name, double weight, T value, long deadline) {
        Flow<T> flow = flows.computeIfAbsent(name, Flow::new);
        flow.weight = weight;
        flow.waiting.add(new WaitingRequest<>(value, deadline));
        size++;
        if (flow.waiting.size() == 1) {
            flow.startTag = Math.max(virtualTime, flow.finishTag);
            enqueue(flow);
        }
    }

    /**
     * Returns the next request without removing it.
     *
     * @return the request, empty if none waits
     */
    public Optional<T> peek() {
        return Optional.ofNullable(order.peek()).map(flow -> flow.waiting.element().value);
    }

    /**
     * Removes and returns the next request.
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
     * Removes and returns the requests whose deadlines can no longer be met.
     *
     * @param earliestDeadline the earliest deadline that can still be met, in nanoseconds
     * @return the removed requests, empty if there are none
     */
    public List<T> removeLate(long earliestDeadline) {
        List<T> late = new ArrayList<>();
        for (Flow<T> flow : new ArrayList<>(order)) {
            flow.waiting.removeIf(waiting -> waiting.collectIfLate(earliestDeadline, late));
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

    /** Holds the waiting requests of one tenant and traffic class. */
    private static final class Flow<T> {
        private final String name;
        private final Deque<WaitingRequest<T>> waiting = new ArrayDeque<>();
        private double weight;
        private double startTag;
        private double finishTag;
        private long sequence;

        private Flow(String name) {
            this.name = name;
        }
    }

    private record WaitingRequest<T>(T value, long deadline) {
        boolean collectIfLate(long earliestDeadline, List<T> late) {
            boolean expired = deadline - earliestDeadline < 0;
            if (expired) {
                late.add(value);
            }
            return expired;
        }
    }
}
