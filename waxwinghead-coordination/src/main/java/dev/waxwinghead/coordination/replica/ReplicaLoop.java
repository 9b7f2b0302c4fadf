package dev.waxwinghead.coordination.replica;

import dev.waxwinghead.coordination.consensus.MalformedMessageException;
import dev.waxwinghead.coordination.consensus.Message;
import dev.waxwinghead.coordination.consensus.MessageCodec;
import dev.waxwinghead.coordination.consensus.Ready;
import dev.waxwinghead.coordination.consensus.ReplicaCore;
import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.coordination.peer.PeerNetwork;
import dev.waxwinghead.coordination.storage.ReplicaStorage;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.time.Ticker;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;

/**
 * Runs the {@link ReplicaCore} on a thread of its own. Each iteration handles the queued events, then writes and syncs
 * once for all of them.
 *
 * <p>After every wait, the loop reads the clock and passes the time to the core before any event, so that a process
 * that was paused never acts on a leadership that has expired in the meantime.
 */
final class ReplicaLoop implements Executor {
    private static final Logger LOG = Logger.getLogger(ReplicaLoop.class);
    private static final long TICK_MILLIS = 20;
    private static final int MAX_EVENTS_PER_SYNC = 2048;
    private static final int MAX_QUEUED_EVENTS = 16_384;
    private static final long MIN_RESUME_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long MAX_RESUME_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final ReplicaSettings settings;
    private final ReplicaStorage storage;
    private final PeerNetwork network;
    private final Ticker ticker;
    private final ReplicaCounters counters;
    private final BlockingQueue<Runnable> events = new LinkedBlockingQueue<>();
    private final AtomicReference<WaxwingheadException> cause = new AtomicReference<>();
    private final CompletableFuture<WaxwingheadException> failure = new CompletableFuture<>();
    private final ReplicaCore core;
    private final Applier applier;
    private final RequestTracker requestTracker;
    private final ReplicaEventLog eventLog;
    private final RecentSenders senders;
    private final Joiner joiner;
    private final Thread thread;
    private volatile boolean running = true;
    /** Set before the queue is drained for the last time. */
    private volatile boolean terminated;

    private volatile ReplicaView view;
    /** The next time to try to resume the storage while it refuses writes. */
    private long resumeDeadline;

    private long resumePauseNanos;

    ReplicaLoop(
            ReplicaSettings settings,
            dev.waxwinghead.coordination.log.StateMachine machine,
            ReplicaStorage storage,
            PeerNetwork network,
            Ticker ticker,
            ReplicaCounters counters) {
        this.settings = settings;
        this.storage = storage;
        this.network = network;
        this.ticker = ticker;
        this.counters = counters;
        this.core = ReplicaCore.create(
                settings.consensus(),
                storage.replicaId(),
                storage.recovered(),
                RandomGenerator.getDefault(),
                ticker.nanos());
        this.applier = new Applier(machine, settings, this::storeSnapshot, this::fail);
        LogClient logClient = new LogClient(network, this);
        this.requestTracker = new RequestTracker(settings, core, applier, logClient, ticker);
        this.senders = new RecentSenders(ticker);
        this.eventLog = new ReplicaEventLog(settings.host(), counters, ticker);
        core.onElections(eventLog);
        this.joiner = new Joiner(settings, storage.replicaId(), core, network, logClient, eventLog, ticker);
        this.view = ReplicaView.of(core);
        this.thread = new Thread(this::run, "waxwinghead-consensus-" + settings.host());
    }

    void start() {
        eventLog.recovered(storage, core.membership());
        storage.recovered().snapshot().ifPresent(applier::restore);
        network.onMessage(PeerChannel.CONSENSUS, this::receive);
        LogClientServer server =
                new LogClientServer(settings, storage.replicaId(), core, requestTracker, counters, this, ticker);
        network.onCall(
                PeerChannel.LOG_CLIENT, (from, request) -> terminated ? refuseCall() : server.answer(from, request));
        thread.start();
    }

    ReplicaView view() {
        return view;
    }

    List<HostId> recentSenders() {
        return senders.hosts();
    }

    long appliedIndex() {
        return applier.appliedIndex();
    }

    /**
     * Returns a future of the cause if the replica fails. It completes on a thread of its own, so that an action that
     * depends on it may wait for the replica to stop.
     */
    CompletableFuture<WaxwingheadException> failure() {
        return failure;
    }

    boolean hasFailed() {
        return cause.get() != null;
    }

    /** Queues an event to run on the thread of the loop. */
    @Override
    public void execute(Runnable event) {
        if (!terminated) {
            events.add(event);
        }
    }

    void submit(Request request) {
        execute(new Submission(requestTracker, request));
        if (terminated) {
            request.abort(stopReason());
        }
    }

    void resign() {
        execute(core::resign);
    }

    void stop() {
        running = false;
        execute(() -> {});
        joinThread();
        applier.close();
    }

    private void run() {
        try {
            while (running) {
                runOnce();
            }
        } catch (WaxwingheadException e) {
            fail(e);
        } catch (RuntimeException | InterruptedException | Error e) {
            fail(WaxwingheadException.from(e));
        }
        running = false;
        terminated = true;
        requestTracker.abortAll(stopReason());
        for (Runnable event = events.poll(); event != null; event = events.poll()) {
            if (event instanceof Submission submission) {
                submission.request().abort(stopReason());
            }
        }
    }

    private void runOnce() throws InterruptedException {
        Runnable event = events.poll(TICK_MILLIS, TimeUnit.MILLISECONDS);
        long now = ticker.nanos();
        core.tick(now);
        for (int i = 0; event != null && i < MAX_EVENTS_PER_SYNC; i++) {
            event.run();
            event = events.poll();
        }
        if (event != null) {
            event.run();
        }
        if (core.refusesWrites() && now - resumeDeadline >= 0) {
            resumeStorage();
        }
        joiner.tick(now);
        requestTracker.tick(now);
        Ready ready = core.ready();
        while (!ready.isEmpty() && running) {
            process(ready);
            ready = core.ready();
        }
        publishView();
    }

    private void process(Ready ready) {
        ready.immediate().forEach(this::send);
        if (isStored(() -> write(ready))) {
            core.markPersisted();
            ready.afterSync().forEach(this::send);
            ready.snapshot().ifPresent(applier::restore);
            if (!ready.committed().isEmpty()) {
                applier.apply(ready.committed());
            }
        }
        ready.confirmedReads().forEach(requestTracker::completeRead);
        ready.failedReads().forEach(requestTracker::retryRead);
    }

    /** Runs a write; returns false if the storage refuses it. */
    private boolean isStored(Runnable write) {
        try {
            write.run();
            return true;
        } catch (WaxwingheadException e) {
            if (!storage.refusesWrites()) {
                throw e;
            }
            counters.refusedWrites.increment();
            LOG.errorf(
                    "storage-refused: %s stores nothing until the disk accepts writes: %s",
                    settings.host(), e.getMessage());
            core.markRefused();
            resumePauseNanos = MIN_RESUME_PAUSE_NANOS;
            resumeDeadline = ticker.nanos() + resumePauseNanos;
            return false;
        }
    }

    private void resumeStorage() {
        try {
            storage.resume();
            core.resumeWrites();
            LOG.infof("storage-resumed: the disk of %s accepts writes again", settings.host());
        } catch (WaxwingheadException e) {
            if (!storage.refusesWrites()) {
                throw e;
            }
            counters.refusedWrites.increment();
            resumePauseNanos = Math.min(2 * resumePauseNanos, MAX_RESUME_PAUSE_NANOS);
            resumeDeadline = ticker.nanos() + resumePauseNanos;
        }
    }

    private void write(Ready ready) {
        ready.hardState().ifPresent(storage::writeHardState);
        ready.snapshot().ifPresent(snapshot -> {
            storage.writeSnapshot(snapshot);
            counters.snapshotsInstalled.increment();
        });
        if (!ready.entries().isEmpty()) {
            storage.append(ready.entries());
            counters.writtenEntries.add(ready.entries().size());
        }
        if (ready.requiresSync()) {
            storage.sync();
            counters.syncs.increment();
        }
    }

    private void send(Ready.Outbound outbound) {
        byte[] bytes = MessageCodec.encode(outbound.message());
        counters.sentMessages.increment();
        counters.sentBytes.add(bytes.length);
        network.send(outbound.to(), PeerChannel.CONSENSUS, bytes);
    }

    private void receive(HostId from, byte[] bytes) {
        senders.record(from);
        if (events.size() > MAX_QUEUED_EVENTS) {
            counters.droppedMessages.increment();
            return;
        }
        Message message;
        try {
            message = MessageCodec.decode(bytes);
        } catch (MalformedMessageException e) {
            counters.malformedMessages.increment();
            return;
        }
        execute(() -> {
            if (!core.receive(from, message)) {
                counters.droppedMessages.increment();
            }
        });
    }

    private void storeSnapshot(long index, byte[] state) {
        execute(() -> core.compact(index, state).ifPresent(snapshot -> {
            if (isStored(() -> storage.writeSnapshot(snapshot))) {
                counters.snapshotsTaken.increment();
            }
        }));
    }

    private void publishView() {
        view = ReplicaView.of(core);
        eventLog.update(core.membership(), core.isMembershipCommitted(), core.role(), core.term(), core.leaderHost());
    }

    private void fail(WaxwingheadException reason) {
        running = false;
        if (cause.compareAndSet(null, reason)) {
            LOG.errorf(reason, "replica on %s stops", settings.host());
            new Thread(() -> failure.complete(reason), "waxwinghead-failure-" + settings.host()).start();
        } else {
            LOG.errorf(reason, "replica on %s failed again while it stops", settings.host());
        }
    }

    private CompletableFuture<byte[]> refuseCall() {
        return CompletableFuture.failedFuture(
                WaxwingheadException.of(ErrorKind.UNAVAILABLE, stopReason(), "ask another entry host"));
    }

    private String stopReason() {
        WaxwingheadException reason = cause.get();
        return reason == null ? "this replica is closed" : "this replica has stopped: " + reason.getMessage();
    }

    private void joinThread() {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw WaxwingheadException.of(
                    ErrorKind.INTERNAL,
                    "interrupted while closing a replica",
                    "close the replica from another thread",
                    e);
        }
    }

    /** Submits a local request on the thread of the loop. */
    private record Submission(RequestTracker tracker, Request request) implements Runnable {
        @Override
        public void run() {
            tracker.submit(request);
        }
    }
}
