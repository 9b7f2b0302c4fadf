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
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/** Holds one host of the model: its disk, its core while it runs, and a state machine that hashes what it applies. */
final class ModelNode {
    private static final ConsensusSettings SETTINGS = new ConsensusSettings(
            Duration.ofMillis(30), Duration.ofMillis(90), Duration.ofMillis(180), 48, 3, 16, 4, 4);

    final HostId host;
    final boolean wantsVote;
    MemoryStorage storage;
    ReplicaCore core;
    long frozenUntil;
    /** How fast the clock of the host goes, in quarters of the true speed. */
    long clockQuarters = 4;

    long applied;
    long stateHash;
    final Map<Long, Long> readFloors = new HashMap<>();

    ModelNode(HostId host, boolean wantsVote, ReplicaId replica) {
        this.host = host;
        this.wantsVote = wantsVote;
        this.storage = MemoryStorage.create(replica);
    }

    ReplicaId replica() {
        return storage.replicaId();
    }

    Member wanted() {
        return new Member(host, replica(), "127.0.0.1:1", wantsVote);
    }

    boolean runs(long now) {
        return core != null && now >= frozenUntil;
    }

    void start(RandomGenerator random, long now) {
        storage = storage.recovered().hardState().term() == 0 && storage.createdNow()
                ? storage
                : storage.reopenedAfterCrash();
        applied = 0;
        stateHash = 0;
        storage.recovered().snapshot().ifPresent(this::restore);
        core = ReplicaCore.create(SETTINGS, replica(), storage.recovered(), random, local(now));
    }

    void tick(long now) {
        core.tick(local(now));
    }

    private long local(long now) {
        return now / 4 * clockQuarters;
    }

    void crash() {
        if (core == null) {
            return;
        }
        storage = storage.reopenedAfterCrash();
        core = null;
        readFloors.clear();
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

    void compact() {
        if (core == null || applied == 0) {
            return;
        }
        byte[] state =
                ByteBuffer.allocate(40).putLong(applied).putLong(stateHash).array();
        core.compact(applied, state).ifPresent(storage::writeSnapshot);
    }

    /** Carries out a ready up to a point, at which the process dies. Returns whether it came through. */
    boolean carryOut(Ready ready, int diesAt, Consumer<Ready.Outbound> network) {
        ready.immediate().forEach(network);
        ready.hardState().ifPresent(storage::writeHardState);
        if (diesAt == 1) {
            storage.sync();
        }
        ready.snapshot().ifPresent(storage::writeSnapshot);
        if (!ready.entries().isEmpty()) {
            storage.append(ready.entries());
        }
        if (diesAt == 1 || diesAt == 2) {
            return false;
        }
        storage.sync();
        if (diesAt == 3) {
            return false;
        }
        core.persisted();
        ready.afterSync().forEach(network);
        return true;
    }

    static long hash(LogEntry entry) {
        return Arrays.hashCode(entry.payload()) * 31L
                + entry.term() * 17
                + entry.kind().name().hashCode();
    }
}
