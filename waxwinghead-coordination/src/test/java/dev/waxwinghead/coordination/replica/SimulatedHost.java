package dev.waxwinghead.coordination.replica;

import dev.waxwinghead.coordination.consensus.ConsensusSettings;
import dev.waxwinghead.coordination.consensus.Message;
import dev.waxwinghead.coordination.consensus.Ready;
import dev.waxwinghead.coordination.consensus.ReplicaCore;
import dev.waxwinghead.coordination.log.LogStatus.Member;
import dev.waxwinghead.coordination.memory.MemoryStorage;
import dev.waxwinghead.coordination.peer.PeerAddress;
import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.coordination.peer.PeerNetwork;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.time.Deadline;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

/**
 * Runs a {@link ReplicaCore}, a {@link Joiner} and a {@link LogClientServer} on the virtual time of a
 * {@link SimulatedCluster}, as a {@link ReplicaLoop} does on a thread. Sends to its known peers only.
 */
final class SimulatedHost implements PeerNetwork, Executor {
    private static final long TICK_NANOS = 20 * SimulatedCluster.NANOS_PER_MILLI;
    private static final long PEER_UPDATE_NANOS = 500 * SimulatedCluster.NANOS_PER_MILLI;
    private static final long SYNC_NANOS = 4 * SimulatedCluster.NANOS_PER_MILLI;

    final HostId id;
    List<HostId> seeds;
    MemoryStorage storage;
    ReplicaCore core;
    Optional<WaxwingheadException> failure = Optional.empty();
    private final SimulatedCluster cluster;
    private boolean mayFormGroup;
    private final Deque<Runnable> inbox = new ArrayDeque<>();
    private Joiner joiner;
    private CallHandler server;
    private Set<HostId> peers = Set.of();
    private final Set<HostId> reported = new LinkedHashSet<>();
    private RecentSenders senders;
    private int incarnation;
    private boolean running;
    private boolean syncing;

    SimulatedHost(
            SimulatedCluster cluster, HostId id, List<HostId> seeds, MemoryStorage storage, boolean mayFormGroup) {
        this.cluster = cluster;
        this.id = id;
        this.seeds = seeds;
        this.storage = storage;
        this.mayFormGroup = mayFormGroup;
    }

    /**
     * Returns the hosts that this host knows: its seeds, the members in its own log and its leader; until it can answer
     * its leader, also those that its peers reported or that sent it messages.
     */
    private Set<HostId> knownPeers() {
        Set<HostId> known = new LinkedHashSet<>(seeds);
        known.addAll(members());
        core.leaderHost().ifPresent(known::add);
        if (!canAnswerLeader()) {
            known.addAll(senders.hosts());
        }
        known.addAll(reported);
        known.remove(id);
        return known;
    }

    private List<HostId> members() {
        return core.membership().members().stream().map(Member::host).toList();
    }

    private boolean canAnswerLeader() {
        long maxSilence = ConsensusSettings.defaults().electionTimeoutMin().toNanos();
        return core.leaderHost().filter(members()::contains).isPresent()
                && core.lastContact().isPresent()
                && cluster.now() - core.lastContact().getAsLong() < maxSilence;
    }

    private void askForMembers(HostId peer) {
        if (cluster.isConnected(id, peer)) {
            cluster.send(this, peer, receiver -> {
                Set<HostId> members = new LinkedHashSet<>(receiver.members());
                receiver.core.leaderHost().ifPresent(members::add);
                cluster.send(receiver, id, asker -> asker.recordMembers(members));
            });
        }
    }

    private void recordMembers(Set<HostId> members) {
        reported.addAll(members);
        peers = knownPeers();
    }

    boolean isRunning() {
        return running;
    }

    boolean isLeader() {
        return running && core.isLeader();
    }

    void start() {
        running = true;
        ReplicaSettings settings = ReplicaSettings.of(id, id + ":1", seeds)
                .withVoterPolicy(ReplicaSettings.VoterPolicy.automatic(cluster.targetVoters(), mayFormGroup));
        core = ReplicaCore.create(
                settings.consensus(), storage.replicaId(), storage.recovered(), cluster.random(), cluster.now());
        senders = new RecentSenders(cluster::now);
        reported.clear();
        LogClient logClient = new LogClient(this, this);
        joiner = new Joiner(
                settings,
                storage.replicaId(),
                core,
                this,
                logClient,
                new ReplicaEventLog(id, new ReplicaCounters(), cluster::now),
                cluster::now);
        Applier unusedApplier =
                new Applier(new TestCluster.TextStateMachine(), settings, (index, state) -> {}, e -> {});
        RequestTracker tracker = new RequestTracker(settings, core, unusedApplier, logClient, cluster::now);
        server = new LogClientServer(
                settings, storage.replicaId(), core, tracker, new ReplicaCounters(), this, cluster::now);
        updatePeers();
        schedule(cluster.random().nextLong(TICK_NANOS), this::tick);
    }

    /** Stops the host; what was not synced is lost. */
    void stop() {
        running = false;
        syncing = false;
        incarnation++;
        inbox.clear();
        storage = storage.reopenAfterCrash();
    }

    /** Replaces the disk of a stopped host by an empty one; such a host never forms a group. */
    void loseDisk() {
        storage = cluster.emptyStorage();
        mayFormGroup = false;
    }

    private void schedule(long delay, Runnable action) {
        int scheduledIn = incarnation;
        cluster.schedule(delay, () -> {
            if (running && incarnation == scheduledIn) {
                action.run();
            }
        });
    }

    private void tick() {
        schedule(TICK_NANOS, this::tick);
        runOnce();
    }

    private void updatePeers() {
        schedule(PEER_UPDATE_NANOS, this::updatePeers);
        if (canAnswerLeader()) {
            reported.clear();
        } else {
            peers.forEach(this::askForMembers);
        }
        peers = knownPeers();
    }

    @Override
    public void execute(Runnable event) {
        if (running) {
            inbox.add(event);
            schedule(0, this::runOnce);
        }
    }

    void propose(byte[] command) {
        execute(() -> core.propose(command));
    }

    private void runOnce() {
        if (syncing) {
            return;
        }
        core.tick(cluster.now());
        try {
            for (Runnable event = inbox.poll(); event != null; event = inbox.poll()) {
                event.run();
            }
            joiner.tick(cluster.now());
        } catch (WaxwingheadException e) {
            failure = Optional.of(e);
            stop();
            return;
        }
        processReady();
    }

    private void processReady() {
        for (Ready ready = core.ready(); !ready.isEmpty(); ready = core.ready()) {
            ready.immediate().forEach(this::send);
            if (ready.requiresSync()) {
                write(ready);
                return;
            }
            complete(ready);
        }
    }

    private void write(Ready ready) {
        ready.hardState().ifPresent(state -> {
            MemoryStorage withHardState = storage.reopenAfterCrash();
            withHardState.writeHardState(state);
            withHardState.sync();
            storage.writeHardState(state);
            if (!ready.entries().isEmpty()) {
                cluster.onPersisted(this, withHardState);
            }
        });
        if (!ready.entries().isEmpty()) {
            storage.append(ready.entries());
        }
        syncing = true;
        schedule(SYNC_NANOS, () -> {
            storage.sync();
            syncing = false;
            cluster.onPersisted(this, storage);
            complete(ready);
            processReady();
            if (!syncing && !inbox.isEmpty()) {
                runOnce();
            }
        });
    }

    private void complete(Ready ready) {
        core.markPersisted();
        ready.afterSync().forEach(this::send);
        ready.committed().forEach(cluster::recordCommitted);
    }

    private void send(Ready.Outbound outbound) {
        if (peers.contains(outbound.to())) {
            cluster.send(this, outbound.to(), receiver -> receiver.receive(id, outbound.message()));
        }
    }

    private void receive(HostId from, Message message) {
        senders.record(from);
        execute(() -> core.receive(from, message));
    }

    @Override
    public HostId self() {
        return id;
    }

    /** Not used: the messages of the core are sent as they are. */
    @Override
    public void send(HostId to, PeerChannel channel, byte[] message) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<byte[]> call(HostId to, PeerChannel channel, byte[] request, Deadline deadline) {
        if (!peers.contains(to) || !cluster.isConnected(id, to)) {
            return CompletableFuture.failedFuture(
                    WaxwingheadException.of(ErrorKind.UNAVAILABLE, to + " is not a known peer", "ask another host"));
        }
        CompletableFuture<byte[]> answer = new CompletableFuture<>();
        cluster.send(this, to, receiver -> {
            CompletableFuture<byte[]> unused = receiver.server
                    .answer(id, request)
                    .whenComplete((bytes, e) -> cluster.send(receiver, id, caller -> {
                        if (e == null) {
                            answer.complete(bytes);
                        } else {
                            answer.completeExceptionally(e);
                        }
                    }));
        });
        return answer;
    }

    @Override
    public void onMessage(PeerChannel channel, MessageHandler handler) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void onCall(PeerChannel channel, CallHandler handler) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void setPeers(Collection<PeerAddress> addresses) {
        throw new UnsupportedOperationException();
    }

    @Override
    public List<PeerStatus> peers() {
        return peers.stream()
                .map(peer ->
                        new PeerStatus(peer, DataCentreId.of("dc1"), cluster.isConnected(id, peer), Long.MIN_VALUE))
                .toList();
    }

    @Override
    public void close() {}
}
