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
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;

/**
 * Drives the core on one thread: it takes all waiting events in, then writes and syncs once for all of them.
 *
 * <p>The clock is read again after every wait and handed to the core first, so that a process that was paused decides
 * nothing on a leadership that has run out meanwhile.
 */
final class ReplicaLoop implements Executor {
    private static final Logger LOG = Logger.getLogger(ReplicaLoop.class);
    private static final long TICK_MILLIS = 20;
    private static final int MAX_EVENTS_PER_SYNC = 2048;
    private static final int MAX_WAITING_MESSAGES = 16_384;

    private final ReplicaSettings settings;
    private final ReplicaStorage storage;
    private final PeerNetwork network;
    private final Ticker ticker;
    private final ReplicaCounters counters;
    private final BlockingQueue<Runnable> events = new LinkedBlockingQueue<>();
    private final CompletableFuture<WaxwingheadException> failure = new CompletableFuture<>();
    private final ReplicaCore core;
    private final Applier applier;
    private final Requests requests;
    private final Joiner joiner;
    private final Thread thread;
    private volatile boolean running = true;
    /** Set before the events that are left are looked through for the last time. */
    private volatile boolean terminated;

    private volatile ReplicaView view;
    private Optional<HostId> lastLeader = Optional.empty();

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
        this.applier = new Applier(machine, settings, this::snapshotTaken, this::fail);
        LeaderLink link = new LeaderLink(network, this);
        this.requests = new Requests(settings, core, applier, link, ticker);
        this.joiner = new Joiner(settings, storage.replicaId(), core, network, link, ticker);
        this.view = ReplicaView.of(core);
        this.thread = new Thread(this::run, "waxwinghead-consensus-" + settings.host());
    }

    void start() {
        storage.recovered().snapshot().ifPresent(applier::restore);
        network.onMessage(PeerChannel.CONSENSUS, this::receive);
        LogClientServer server =
                new LogClientServer(settings, storage.replicaId(), core, requests, counters, this, ticker);
        network.onCall(
                PeerChannel.LOG_CLIENT, (from, request) -> terminated ? refused() : server.answer(from, request));
        thread.start();
    }

    ReplicaView view() {
        return view;
    }

    long appliedIndex() {
        return applier.appliedIndex();
    }

    CompletableFuture<WaxwingheadException> failure() {
        return failure;
    }

    /** Runs an event on the thread of the loop. */
    @Override
    public void execute(Runnable event) {
        if (!terminated) {
            events.add(event);
        }
    }

    void submit(Request request) {
        execute(new Submission(requests, request));
        if (terminated) {
            request.giveUp(stopReason());
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
        } catch (RuntimeException | InterruptedException e) {
            fail(WaxwingheadException.from(e));
        }
        running = false;
        terminated = true;
        requests.failAll(stopReason());
        for (Runnable event = events.poll(); event != null; event = events.poll()) {
            if (event instanceof Submission submission) {
                submission.request().giveUp(stopReason());
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
        joiner.tick(now);
        requests.tick(now);
        Ready ready = core.ready();
        while (!ready.isEmpty() && running) {
            carryOut(ready);
            ready = core.ready();
        }
        publish();
    }

    private void carryOut(Ready ready) {
        ready.immediate().forEach(this::send);
        write(ready);
        core.persisted();
        ready.afterSync().forEach(this::send);
        ready.snapshot().ifPresent(applier::restore);
        if (!ready.committed().isEmpty()) {
            applier.apply(ready.committed());
        }
        ready.confirmedReads().forEach(requests::confirmed);
        ready.failedReads().forEach(requests::readFailed);
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
        if (ready.writes()) {
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
        if (events.size() > MAX_WAITING_MESSAGES) {
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

    private void snapshotTaken(long index, byte[] state) {
        execute(() -> core.compact(index, state).ifPresent(snapshot -> {
            storage.writeSnapshot(snapshot);
            counters.snapshotsTaken.increment();
        }));
    }

    private void publish() {
        view = ReplicaView.of(core);
        if (!core.leader().equals(lastLeader)) {
            lastLeader = core.leader();
            counters.leaderChanges.increment();
            LOG.infof(
                    "%s is %s in term %d, leader %s",
                    settings.host(),
                    core.role(),
                    core.term(),
                    lastLeader.map(HostId::value).orElse("unknown"));
        }
    }

    private void fail(WaxwingheadException cause) {
        running = false;
        if (failure.complete(cause)) {
            LOG.errorf(cause, "%s stops", settings.host());
        }
    }

    private CompletableFuture<byte[]> refused() {
        return CompletableFuture.failedFuture(
                WaxwingheadException.of(ErrorKind.UNAVAILABLE, stopReason(), "ask another entry host"));
    }

    private String stopReason() {
        WaxwingheadException cause = failure.getNow(null);
        return cause == null ? "this replica is closed" : "this replica has stopped: " + cause.getMessage();
    }

    private void joinThread() {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw WaxwingheadException.of(
                    ErrorKind.INTERNAL, "interrupted while a replica closed", "close it from another thread", e);
        }
    }

    /** Hands a request of a user to the thread of the loop. */
    private record Submission(Requests requests, Request request) implements Runnable {
        @Override
        public void run() {
            requests.submit(request);
        }
    }
}
