package dev.waxwinghead.coordination.consensus;

import dev.waxwinghead.coordination.log.LogStatus.Member;
import dev.waxwinghead.coordination.memory.MemoryStorage;
import dev.waxwinghead.coordination.storage.LogEntry;
import dev.waxwinghead.coordination.storage.Snapshot;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.ReplicaId;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/** Simulates a host: a disk, a core while the host runs, and a state machine that hashes the applied entries. */
final class ModelNode {
    static final ConsensusSettings SETTINGS = new ConsensusSettings(
            Duration.ofMillis(30), Duration.ofMillis(90), Duration.ofMillis(180), 48, 3, 16, 4, 4);

    final HostId host;
    final boolean requestsVote;
    MemoryStorage storage;
    ReplicaCore core;
    long pausedUntil;
    /** The rate of the host's clock, in quarters of real time. */
    long clockRateQuarters = 4;

    /** Whether the disk is full, and how many writes it takes nevertheless. */
    boolean diskFull;

    int remainingWrites;
    long resumeAt;

    long applied;
    long stateHash;
    final Map<Long, Long> minReadIndexes = new HashMap<>();

    ModelNode(HostId host, boolean requestsVote, ReplicaId replica) {
        this.host = host;
        this.requestsVote = requestsVote;
        this.storage = MemoryStorage.create(replica);
    }

    ReplicaId replica() {
        return storage.replicaId();
    }

    Member desiredMember() {
        return new Member(host, replica(), "127.0.0.1:1", requestsVote);
    }

    boolean isRunning(long now) {
        return core != null && now >= pausedUntil;
    }

    void start(RandomGenerator random, long now) {
        storage = storage.recovered().hardState().term() == 0 && storage.isNewlyCreated()
                ? storage
                : storage.reopenAfterCrash();
        applied = 0;
        stateHash = 0;
        storage.recovered().snapshot().ifPresent(this::restore);
        core = ReplicaCore.create(SETTINGS, replica(), storage.recovered(), random, localTime(now));
    }

    void tick(long now) {
        core.tick(localTime(now));
    }

    private long localTime(long now) {
        return now / 4 * clockRateQuarters;
    }

    void crash() {
        if (core == null) {
            return;
        }
        storage = storage.reopenAfterCrash();
        core = null;
        minReadIndexes.clear();
    }

    void restore(Snapshot snapshot) {
        ByteBuffer state = ByteBuffer.wrap(snapshot.state());
        applied = state.getLong();
        stateHash = state.getLong();
    }

    void apply(LogEntry entry) {
        applied = entry.index();
        stateHash = stateHash * 31 + hash(entry);
    }

    /** Lets the state machine's snapshot replace the log up to it. Returns false if the disk refuses the snapshot. */
    boolean compact() {
        if (core == null || applied == 0) {
            return true;
        }
        byte[] state =
                ByteBuffer.allocate(40).putLong(applied).putLong(stateHash).array();
        Optional<Snapshot> snapshot = core.compact(applied, state);
        if (snapshot.isPresent() && !takesWrite()) {
            core.markRefused();
            return false;
        }
        snapshot.ifPresent(storage::writeSnapshot);
        return true;
    }

    /** Tries to resume the storage, which makes durable what it accepted before the refusal. Returns whether it did. */
    boolean resume() {
        if (!takesWrite()) {
            return false;
        }
        storage.sync();
        core.resumeWrites();
        return true;
    }

    /**
     * Processes a {@link Ready} up to the crash point: 1 after the hard state, 2 before and 3 after the last sync; 0
     * for none.
     */
    Outcome process(Ready ready, int crashPoint, Consumer<Ready.Outbound> network) {
        ready.immediate().forEach(network);
        if (!write(ready, crashPoint)) {
            core.markRefused();
            return Outcome.REFUSED;
        }
        if (crashPoint == 1 || crashPoint == 2) {
            return Outcome.CRASHED;
        }
        storage.sync();
        if (crashPoint == 3) {
            return Outcome.CRASHED;
        }
        core.markPersisted();
        ready.afterSync().forEach(network);
        return Outcome.STORED;
    }

    private boolean write(Ready ready, int crashPoint) {
        if (ready.hardState().isPresent()) {
            if (!takesWrite()) {
                return false;
            }
            storage.writeHardState(ready.hardState().get());
        }
        if (crashPoint == 1) {
            storage.sync();
        }
        if (ready.snapshot().isPresent()) {
            if (!takesWrite()) {
                return false;
            }
            storage.writeSnapshot(ready.snapshot().get());
        }
        if (!ready.entries().isEmpty()) {
            if (!takesWrite()) {
                return false;
            }
            storage.append(ready.entries());
        }
        return true;
    }

    private boolean takesWrite() {
        return !diskFull || remainingWrites-- > 0;
    }

    /** Enumerates the ways in which the processing of a {@link Ready} ends. */
    enum Outcome {
        STORED,
        REFUSED,
        CRASHED
    }

    static long hash(LogEntry entry) {
        return Arrays.hashCode(entry.payload()) * 31L
                + entry.term() * 17
                + entry.kind().name().hashCode();
    }
}
