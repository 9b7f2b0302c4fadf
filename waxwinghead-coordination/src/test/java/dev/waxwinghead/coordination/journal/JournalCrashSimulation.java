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
 * Runs random operations on a storage, makes a random file operation and all later ones fail as in a crash, and checks
 * the state that the storage recovers on reopening.
 */
final class JournalCrashSimulation {
    private static final int ROUNDS = 6;
    private static final int OPERATIONS_PER_ROUND = 60;
    private static final int SEGMENT_BYTES = 400;

    private final Path folder;
    private final UniformRandomProvider random;

    /** The states that a reopening may recover: the last synced state, followed by all states written since. */
    private final List<State> allowedStates = new ArrayList<>();

    private State current = new State(0, 0, 0, List.of());

    private JournalCrashSimulation(Path folder, long seed) {
        this.folder = folder;
        this.random = RandomSource.SPLIT_MIX_64.create(seed);
    }

    static int run(Path folder, long seed) throws IOException {
        JournalCrashSimulation simulation = new JournalCrashSimulation(folder, seed);
        simulation.allowedStates.add(simulation.current);
        int crashes = 0;
        for (int round = 0; round < ROUNDS; round++) {
            FaultyFileOperations files = new FaultyFileOperations(simulation.random, 2 + simulation.random.nextInt(60));
            crashes += simulation.runUntilFailure(files) ? 0 : 1;
            if (simulation.random.nextBoolean()) {
                files.simulatePowerFailure(folder);
            }
            simulation.checkReopened(seed, round);
        }
        return crashes;
    }

    private boolean runUntilFailure(FaultyFileOperations files) {
        try (FileReplicaStorage storage = FileReplicaStorage.open(folder, "seating", SEGMENT_BYTES, files)) {
            for (int i = 0; i < OPERATIONS_PER_ROUND; i++) {
                runRandomOperation(storage);
            }
            return true;
        } catch (WaxwingheadException e) {
            return false;
        }
    }

    private void runRandomOperation(FileReplicaStorage storage) {
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
                allowedStates.clear();
                allowedStates.add(current);
            }
        }
    }

    private void append(FileReplicaStorage storage, long from) {
        long term = Math.max(current.hardTerm, 1);
        int count = 1 + random.nextInt(4);
        List<LogEntry> entries = new ArrayList<>();
        recordState(current.truncatedFrom(from));
        for (long index = from; index < from + count; index++) {
            byte[] payload = Long.toString(random.nextLong()).getBytes(StandardCharsets.UTF_8);
            entries.add(new LogEntry(index, term, LogEntry.Kind.COMMAND, payload));
            recordState(current.with(entries.get(entries.size() - 1)));
        }
        storage.append(entries);
    }

    private void writeTerm(FileReplicaStorage storage) {
        recordState(new State(current.hardTerm + 1, current.snapshot, current.snapshotTerm, current.entries));
        storage.writeHardState(new HardState(current.hardTerm, Optional.empty()));
    }

    private void writeSnapshot(FileReplicaStorage storage, boolean pastEnd) {
        long index = pastEnd ? current.lastIndex() + 3 : current.snapshot + random.nextInt(current.entries.size() + 1);
        if (index == 0) {
            return;
        }
        long term = pastEnd ? current.hardTerm + 1 : current.termAt(index);
        recordState(new State(current.hardTerm, index, term, pastEnd ? List.of() : current.after(index)));
        storage.writeSnapshot(new Snapshot(index, term, new byte[1], new byte[random.nextInt(50)]));
        allowedStates.clear();
        allowedStates.add(current);
    }

    private void recordState(State state) {
        current = state;
        allowedStates.add(state);
    }

    private void checkReopened(long seed, int round) {
        try (FileReplicaStorage storage = FileReplicaStorage.open(folder, "seating")) {
            State found = State.of(storage.recovered());
            assertWithMessage("seed %s, round %s", seed, round)
                    .that(allowedStates)
                    .contains(found);
            current = found;
            allowedStates.clear();
            allowedStates.add(found);
        }
    }

    /** The contents of a storage in a comparable form. */
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
