package dev.waxwinghead.coordination.consensus;

import dev.waxwinghead.coordination.consensus.Message.AppendRequest;
import dev.waxwinghead.coordination.consensus.Message.SnapshotChunk;
import dev.waxwinghead.coordination.consensus.Progress.Mode;
import dev.waxwinghead.coordination.storage.LogEntry;
import dev.waxwinghead.coordination.storage.Snapshot;
import java.util.Arrays;
import java.util.List;

/** Sends a leader's entries and snapshots to one member at a time. */
final class Replication {
    private final CoreState state;

    Replication(CoreState state) {
        this.state = state;
    }

    /** Sends what the member lacks, as far as its window allows. */
    void replicate(Progress progress, long round) {
        while (progress.hasRoom(state.settings.inflightMessages()) && progress.nextIndex <= state.log.lastIndex()) {
            if (progress.nextIndex <= state.log.baseIndex()) {
                startSnapshot(progress, round);
                return;
            }
            sendNext(progress, round);
        }
    }

    /** Shows the member that its leader lives; sends a lost probe or part again. */
    void heartbeat(Progress progress, long round) {
        if (progress.mode == Mode.SNAPSHOT) {
            sendChunk(progress, round);
            return;
        }
        if (progress.nextIndex <= state.log.baseIndex()) {
            startSnapshot(progress, round);
        } else {
            send(progress, round, List.of());
        }
    }

    void sendChunk(Progress progress, long round) {
        Snapshot snapshot = progress.sending.orElseThrow();
        int from = (int) Math.min(progress.offset, snapshot.state().length);
        int to = Math.min(snapshot.state().length, from + state.settings.chunkBytes());
        state.sendNow(
                progress.member.host(),
                new SnapshotChunk(
                        state.headerTo(progress.member.replica()),
                        snapshot.lastIndex(),
                        snapshot.lastTerm(),
                        snapshot.membership(),
                        snapshot.state().length,
                        from,
                        Arrays.copyOfRange(snapshot.state(), from, to),
                        round));
    }

    private void startSnapshot(Progress progress, long round) {
        progress.startSnapshot(state.snapshot.orElseThrow());
        sendChunk(progress, round);
    }

    private void sendNext(Progress progress, long round) {
        List<LogEntry> entries = progress.mode == Mode.PROBE
                ? List.of()
                : state.log.batch(progress.nextIndex, state.settings.batchBytes());
        send(progress, round, entries);
        progress.sent(progress.nextIndex + entries.size() - 1);
    }

    private void send(Progress progress, long round, List<LogEntry> entries) {
        long previous = progress.nextIndex - 1;
        progress.announcedCommit = state.commitIndex;
        state.sendNow(
                progress.member.host(),
                new AppendRequest(
                        state.headerTo(progress.member.replica()),
                        previous,
                        state.log.term(previous),
                        state.commitIndex,
                        round,
                        entries));
    }
}
