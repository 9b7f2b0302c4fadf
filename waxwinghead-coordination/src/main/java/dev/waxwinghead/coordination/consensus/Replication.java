package dev.waxwinghead.coordination.consensus;

import dev.waxwinghead.coordination.consensus.Message.AppendRequest;
import dev.waxwinghead.coordination.consensus.Message.SnapshotChunk;
import dev.waxwinghead.coordination.consensus.Progress.Mode;
import dev.waxwinghead.coordination.storage.LogEntry;
import dev.waxwinghead.coordination.storage.Snapshot;
import java.util.Arrays;
import java.util.List;

/** Sends the entries and snapshots of a leader to its members. */
final class Replication {
    private final CoreState state;

    Replication(CoreState state) {
        this.state = state;
    }

    /** Sends the entries or the snapshot that the member lacks, as far as its send window allows. */
    void replicate(Progress progress, long readRound) {
        while (progress.mayProbeOrSend(state.settings.inflightMessages())
                && progress.nextIndex <= state.log.lastIndex()) {
            if (progress.nextIndex <= state.log.baseIndex()) {
                startSnapshot(progress, readRound);
                return;
            }
            sendNextEntries(progress, readRound);
        }
    }

    /** Sends a heartbeat, which also repeats a probe or snapshot chunk that may have been lost. */
    void sendHeartbeat(Progress progress, long readRound) {
        if (progress.mode == Mode.SNAPSHOT) {
            sendChunk(progress, readRound);
            return;
        }
        if (progress.nextIndex <= state.log.baseIndex()) {
            startSnapshot(progress, readRound);
        } else {
            send(progress, readRound, List.of());
        }
    }

    void sendChunk(Progress progress, long readRound) {
        Snapshot snapshot = progress.outgoingSnapshot.orElseThrow();
        int from = (int) Math.min(progress.snapshotOffset, snapshot.state().length);
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
                        readRound));
    }

    private void startSnapshot(Progress progress, long readRound) {
        progress.startSnapshot(state.snapshot.orElseThrow());
        sendChunk(progress, readRound);
    }

    private void sendNextEntries(Progress progress, long readRound) {
        List<LogEntry> entries = progress.mode == Mode.PROBE
                ? List.of()
                : state.log.batch(progress.nextIndex, state.settings.batchBytes());
        send(progress, readRound, entries);
        progress.recordSent(progress.nextIndex + entries.size() - 1);
    }

    private void send(Progress progress, long readRound, List<LogEntry> entries) {
        long previous = progress.nextIndex - 1;
        progress.announcedCommit = state.commitIndex;
        state.sendNow(
                progress.member.host(),
                new AppendRequest(
                        state.headerTo(progress.member.replica()),
                        previous,
                        state.log.term(previous),
                        state.commitIndex,
                        readRound,
                        entries));
    }
}
