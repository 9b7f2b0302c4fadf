package dev.waxwinghead.coordination.replica;

import dev.waxwinghead.coordination.log.StateMachine;
import dev.waxwinghead.coordination.replica.LogClientAnswer.Done;
import dev.waxwinghead.coordination.storage.LogEntry;
import dev.waxwinghead.coordination.storage.Snapshot;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Applies committed entries to the state machine on a thread of its own and runs the actions that wait for them.
 *
 * <p>The lock on {@code this} guards the waiters and is never held while a future completes.
 */
final class Applier implements AutoCloseable {
    private static final int CLOSE_SECONDS = 5;

    private final StateMachine machine;
    private final long snapshotInterval;
    private final SnapshotReceiver snapshotReceiver;
    private final Consumer<WaxwingheadException> failureReceiver;
    private final ExecutorService executor;
    private final PriorityQueue<Waiter> waiters = new PriorityQueue<>(Comparator.comparingLong(Waiter::index));
    private volatile long appliedIndex;
    private volatile boolean failed;
    private long snapshotIndex;

    Applier(
            StateMachine machine,
            ReplicaSettings settings,
            SnapshotReceiver snapshotReceiver,
            Consumer<WaxwingheadException> failureReceiver) {
        this.machine = machine;
        this.snapshotInterval = settings.snapshotInterval();
        this.snapshotReceiver = snapshotReceiver;
        this.failureReceiver = failureReceiver;
        this.executor =
                Executors.newSingleThreadExecutor(task -> new Thread(task, "waxwinghead-apply-" + settings.host()));
    }

    long appliedIndex() {
        return appliedIndex;
    }

    /** Runs an action once an index is applied: on the applying thread, or at once if the index is already applied. */
    void whenApplied(long index, Runnable action) {
        addWaiter(new Waiter(index, (term, result, failure) -> action.run()));
    }

    /** Completes a proposal with its result, or fails it, once its index is applied. */
    void awaitResult(long index, long term, Request request) {
        addWaiter(new Waiter(index, (appliedTerm, result, failure) -> {
            if (appliedTerm == Waiter.UNKNOWN_TERM) {
                request.abort("a snapshot replaced the entries");
            } else if (appliedTerm != term) {
                request.mayHaveEffect = false;
                request.abort("a new leader replaced the entry");
            } else if (failure != null) {
                request.result.completeExceptionally(failure);
            } else {
                request.result.complete(new Done(index, result));
            }
        }));
    }

    void apply(List<LogEntry> entries) {
        execute(() -> entries.forEach(this::apply));
    }

    void restore(Snapshot snapshot) {
        execute(() -> {
            machine.restore(snapshot.state());
            snapshotIndex = snapshot.lastIndex();
            completeWaiters(snapshot.lastIndex(), Waiter.UNKNOWN_TERM, new byte[0], null);
        });
    }

    @Override
    public void close() {
        executor.shutdown();
        try {
            if (!executor.awaitTermination(CLOSE_SECONDS, TimeUnit.SECONDS)) {
                executor.shutdownNow();
            }
        } catch (InterruptedException e) {
            executor.shutdownNow();
            Thread.currentThread().interrupt();
        }
    }

    private void execute(Runnable task) {
        try {
            executor.execute(() -> runUnlessFailed(task));
        } catch (RejectedExecutionException e) {
            failed = true;
        }
    }

    private void runUnlessFailed(Runnable task) {
        if (failed) {
            return;
        }
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            failed = true;
            failureReceiver.accept(WaxwingheadException.from(e));
        }
    }

    private void apply(LogEntry entry) {
        byte[] result = new byte[0];
        WaxwingheadException failure = null;
        if (entry.kind() == LogEntry.Kind.COMMAND) {
            try {
                result = machine.apply(entry.index(), entry.payload());
            } catch (WaxwingheadException e) {
                if (e.kind() == ErrorKind.INTERNAL || e.kind() == ErrorKind.STORAGE) {
                    throw e;
                }
                failure = e;
            }
        }
        completeWaiters(entry.index(), entry.term(), result, failure);
        if (entry.index() - snapshotIndex >= snapshotInterval) {
            snapshotIndex = entry.index();
            snapshotReceiver.receive(entry.index(), machine.snapshot());
        }
    }

    private void completeWaiters(long index, long term, byte[] result, WaxwingheadException failure) {
        List<Waiter> due = new ArrayList<>();
        synchronized (this) {
            appliedIndex = index;
            while (!waiters.isEmpty() && waiters.peek().index() <= index) {
                due.add(waiters.poll());
            }
        }
        due.forEach(waiter -> waiter.action().run(term, result, failure));
    }

    private void addWaiter(Waiter waiter) {
        synchronized (this) {
            if (waiter.index() > appliedIndex) {
                waiters.add(waiter);
                return;
            }
        }
        waiter.action().run(Waiter.UNKNOWN_TERM, new byte[0], null);
    }

    /** Receives snapshots of the state machine. */
    @FunctionalInterface
    interface SnapshotReceiver {
        void receive(long index, byte[] state);
    }

    /** Holds an action that waits for an index to be applied. */
    private record Waiter(long index, Action action) {
        /** The term passed to the action if the entry was covered by a snapshot or had been applied before. */
        static final long UNKNOWN_TERM = -1;

        /** An action to run once the index is applied. */
        @FunctionalInterface
        interface Action {
            void run(long term, byte[] result, WaxwingheadException failure);
        }
    }
}
