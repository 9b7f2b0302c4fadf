package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.TaskId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Holds the transitions that are waiting to be proposed or to be settled, at most one per task. */
final class Outbox {
    private final Deque<Transition> waiting = new ArrayDeque<>();
    private final Map<TaskId, Transition> pending = new HashMap<>();

    boolean add(Transition transition) {
        if (pending.putIfAbsent(transition.task(), transition) != null) {
            return false;
        }
        waiting.add(transition);
        return true;
    }

    boolean contains(TaskId task) {
        return pending.containsKey(task);
    }

    Transition pending(TaskId task) {
        return pending.get(task);
    }

    List<Transition> take(int limit) {
        List<Transition> batch = new ArrayList<>();
        while (batch.size() < limit && !waiting.isEmpty()) {
            batch.add(waiting.poll());
        }
        return batch;
    }

    void settle(Transition transition) {
        pending.remove(transition.task(), transition);
    }
}
