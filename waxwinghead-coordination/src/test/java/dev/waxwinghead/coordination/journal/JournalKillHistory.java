package dev.waxwinghead.coordination.journal;

import static com.google.common.truth.Truth.assertWithMessage;

import dev.waxwinghead.coordination.storage.HardState;
import dev.waxwinghead.coordination.storage.LogEntry;
import dev.waxwinghead.coordination.storage.ReplicaStorage.Recovered;
import dev.waxwinghead.coordination.storage.Snapshot;
import dev.waxwinghead.model.error.WaxwingheadException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Drives a storage with random operations, kills it at a random file operation and checks what it finds on reopening.
 */
final class JournalKillHistory {
    private static final int KILLS = 6;
    private static final int OPERATIONS_PER_LIFE = 60;
    private static final int SEGMENT_BYTES = 400;

    private final Path folder;
    private final UniformRandomProvider random;

    /** What a reopening may find: all states written since the last sync, that of the sync first. */
    private final List<State> allowed = new ArrayList<>();

    private State current = new State(0, 0, 0, List.of());

    private JournalKillHistory(Path folder, long seed) {
        this.folder = folder;
        this.random = RandomSource.SPLIT_MIX_64.create(seed);
    }

    static int run(Path folder, long seed) throws IOException {
        JournalKillHistory history = new JournalKillHistory(folder, seed);
        history.allowed.add(history.current);
        int kills = 0;
        for (int life = 0; life < KILLS; life++) {
            FaultyFileOperations files = new FaultyFileOperations(history.random, 2 + history.random.nextInt(60));
            kills += history.live(files) ? 0 : 1;
            if (history.random.nextBoolean()) {
                files.losePower(folder);
            }
            history.checkReopened(seed, life);
        }
        return kills;
    }

    private boolean live(FaultyFileOperations files) {
        try (FileReplicaStorage storage = FileReplicaStorage.open(folder, "seating", SEGMENT_BYTES, files)) {
            for (int i = 0; i < OPERATIONS_PER_LIFE; i++) {
                operate(storage);
            }
            return true;
        } catch (WaxwingheadException e) {
            return false;
        }
    }

    private void operate(FileReplicaStorage storage) {
        switch (random.nextInt(8)) {
            case 0, 1, 2 -> append(storage, current.lastIndex() + 1);
            case 3 ->
                append(
                        storage,
                        current.snapshot + 1 + random.nextInt((int) (current.lastIndex() - current.snapshot) + 1));
            case 4 -> writeTerm(storage);
            case 5 -> writeSnapshot(storage, random.nextInt(4) == 0);
            default -> {
                storage.sync();
                allowed.clear();
                allowed.add(current);
            }
        }
    }

    private void append(FileReplicaStorage storage, long from) {
        long term = Math.max(current.hardTerm, 1);
        int count = 1 + random.nextInt(4);
        List<LogEntry> entries = new ArrayList<>();
        note(current.truncatedFrom(from));
        for (long index = from; index < from + count; index++) {
            byte[] payload = Long.toString(random.nextLong()).getBytes(StandardCharsets.UTF_8);
            entries.add(new LogEntry(index, term, LogEntry.Kind.COMMAND, payload));
            note(current.with(entries.get(entries.size() - 1)));
        }
        storage.append(entries);
    }

    private void writeTerm(FileReplicaStorage storage) {
        note(new State(current.hardTerm + 1, current.snapshot, current.snapshotTerm, current.entries));
        storage.writeHardState(new HardState(current.hardTerm, Optional.empty()));
    }

    private void writeSnapshot(FileReplicaStorage storage, boolean past) {
        long index = past ? current.lastIndex() + 3 : current.snapshot + random.nextInt(current.entries.size() + 1);
        if (index == 0) {
            return;
        }
        long term = past ? current.hardTerm + 1 : current.termAt(index);
        note(new State(current.hardTerm, index, term, past ? List.of() : current.after(index)));
        storage.writeSnapshot(new Snapshot(index, term, new byte[1], new byte[random.nextInt(50)]));
        allowed.clear();
        allowed.add(current);
    }

    private void note(State state) {
        current = state;
        allowed.add(state);
    }

    private void checkReopened(long seed, int life) {
        try (FileReplicaStorage storage = FileReplicaStorage.open(folder, "seating")) {
            State found = State.of(storage.recovered());
            assertWithMessage("seed %s, life %s", seed, life).that(allowed).contains(found);
            current = found;
            allowed.clear();
            allowed.add(found);
        }
    }

    /** Holds what a storage keeps, in a form that can be compared. */
    private record State(long hardTerm, long snapshot, long snapshotTerm, List<String> entries) {
        static State of(Recovered recovered) {
            return new State(
                    recovered.hardState().term(),
                    recovered.snapshot().map(Snapshot::lastIndex).orElse(0L),
                    recovered.snapshot().map(Snapshot::lastTerm).orElse(0L),
                    FileReplicaStorageTests.texts(recovered.entries()));
        }

        long lastIndex() {
            return snapshot + entries.size();
        }

        long termAt(long index) {
            return index == snapshot
                    ? snapshotTerm
                    : Long.parseLong(entries.get((int) (index - snapshot) - 1).split(":", -1)[1]);
        }

        List<String> after(long index) {
            return entries.subList((int) (index - snapshot), entries.size());
        }

        State truncatedFrom(long index) {
            return new State(hardTerm, snapshot, snapshotTerm, entries.subList(0, (int) (index - snapshot) - 1));
        }

        State with(LogEntry entry) {
            List<String> extended = new ArrayList<>(entries);
            extended.addAll(FileReplicaStorageTests.texts(List.of(entry)));
            return new State(hardTerm, snapshot, snapshotTerm, extended);
        }
    }
}
