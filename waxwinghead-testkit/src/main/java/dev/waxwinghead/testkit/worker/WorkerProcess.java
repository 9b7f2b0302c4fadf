package dev.waxwinghead.testkit.worker;

import dev.waxwinghead.model.id.RackId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.lifecycle.Closer;
import dev.waxwinghead.model.time.Ticker;
import java.net.http.HttpClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

/** Runs the simulated workers of one process with a shared timer and HTTP client. */
final class WorkerProcess implements AutoCloseable {
    private static final int TIMER_THREADS = 4;
    private static final int HTTP_THREADS = 4;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    private final Closer closer = Closer.create();
    private final List<SimulatedWorker> workers = new ArrayList<>();

    private final Ticker ticker;

    private WorkerProcess(Ticker ticker) {
        this.ticker = ticker;
    }

    static WorkerProcess start(WorkerOptions options) {
        return start(options, Ticker.system());
    }

    /** Starts workers whose leases and tasks take the time from the given clock; polls are still paced in real time. */
    static WorkerProcess start(WorkerOptions options, Ticker ticker) {
        WorkerProcess process = new WorkerProcess(ticker);
        ScheduledExecutorService timer = Executors.newScheduledThreadPool(TIMER_THREADS);
        process.closer.register(timer::shutdownNow);
        ExecutorService executor = Executors.newFixedThreadPool(HTTP_THREADS);
        process.closer.register(executor::shutdownNow);
        HttpClient client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(CONNECT_TIMEOUT)
                .executor(executor)
                .build();
        TaskEventFile record = process.closer.register(TaskEventFile.open(options.record()));
        for (int i = 0; i < options.workers(); i++) {
            process.add(options, i, record, timer, client);
        }
        return process;
    }

    private void add(
            WorkerOptions options, int index, TaskEventFile record, ScheduledExecutorService timer, HttpClient client) {
        TaskTable tasks = TaskTable.create();
        TaskContext context = new TaskContext(
                describe(options, index),
                TaskLease.create(ticker),
                record,
                ticker,
                timer,
                EntryHostClient.create(client, options.workerPorts(), index),
                options.usageLag(),
                options.failsAll(),
                tasks::noiseMicros);
        workers.add(closer.register(SimulatedWorker.start(context, tasks, options)));
    }

    private static WorkerDescription describe(WorkerOptions options, int index) {
        boolean single = options.workers() == 1;
        String id = single ? options.id() : options.id() + "-" + (index + 1);
        String rack = single ? options.rack() : options.rack() + "-" + (index / options.workersPerRack() + 1);
        return new WorkerDescription(
                WorkerId.of(id),
                options.incarnation(),
                options.dataCentre(),
                RackId.of(rack),
                options.capacity(),
                options.labels());
    }

    /** Makes all workers leave; the future completes once each of them has left. */
    CompletableFuture<Void> leave() {
        CompletableFuture<?>[] left =
                workers.stream().map(SimulatedWorker::leave).toArray(CompletableFuture<?>[]::new);
        return CompletableFuture.allOf(left);
    }

    @Override
    public void close() {
        closer.close();
    }
}
