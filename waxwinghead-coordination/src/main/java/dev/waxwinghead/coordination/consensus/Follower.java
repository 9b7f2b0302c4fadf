package dev.waxwinghead.coordination.consensus;

import dev.waxwinghead.coordination.consensus.Message.AppendRequest;
import dev.waxwinghead.coordination.consensus.Message.AppendResponse;
import dev.waxwinghead.coordination.consensus.Message.SnapshotChunk;
import dev.waxwinghead.coordination.consensus.Message.SnapshotResponse;
import dev.waxwinghead.coordination.storage.LogEntry;
import dev.waxwinghead.coordination.storage.Snapshot;
import dev.waxwinghead.model.id.HostId;
import java.util.List;
import java.util.Optional;

/** Receives entries and snapshots from the leader of the term. */
final class Follower {
    private final CoreState state;
    private Optional<SnapshotAssembly> assembly = Optional.empty();

    Follower(CoreState state) {
        this.state = state;
    }

    void handleAppend(HostId host, AppendRequest request) {
        followLeader(host, request);
        long previous = request.previousIndex();
        if (state.refusesWrites) {
            if (state.log.term(previous) == request.previousTerm()) {
                state.commitIndex = Math.max(state.commitIndex, Math.min(request.commitIndex(), previous));
            }
            respondNotStored(host, request, request.readRound());
            return;
        }
        if (previous >= state.log.baseIndex() && state.log.term(previous) != request.previousTerm()) {
            respond(host, request, false, lastPossibleMatch(previous));
            return;
        }
        appendMissing(request.entries());
        long match = previous + request.entries().size();
        state.commitIndex = Math.max(state.commitIndex, Math.min(request.commitIndex(), match));
        respond(host, request, true, match);
    }

    void handleChunk(HostId host, SnapshotChunk chunk) {
        followLeader(host, chunk);
        if (state.refusesWrites) {
            respondNotStored(host, chunk, chunk.readRound());
            return;
        }
        if (chunk.lastIndex() <= state.commitIndex) {
            acceptSnapshot(host, chunk);
            return;
        }
        SnapshotAssembly current = assembly.filter(a -> a.accepts(chunk)).orElseGet(() -> new SnapshotAssembly(chunk));
        assembly = Optional.of(current);
        current.add(chunk);
        if (!current.isComplete()) {
            state.sendAfterSync(
                    host,
                    new SnapshotResponse(
                            state.headerTo(chunk.header().from()),
                            chunk.lastIndex(),
                            current.nextOffset(),
                            chunk.readRound()));
            return;
        }
        assembly = Optional.empty();
        install(host, chunk, current.toSnapshot());
    }

    private void followLeader(HostId host, Message message) {
        state.becomeFollower(message.header().term());
        state.leader = Optional.of(message.header().from());
        state.leaderHost = Optional.of(host);
        state.recordContact();
        state.resetElectionDeadline();
    }

    private void appendMissing(List<LogEntry> entries) {
        for (LogEntry entry : entries) {
            if (entry.index() <= state.log.baseIndex() || state.log.term(entry.index()) == entry.term()) {
                continue;
            }
            if (entry.index() <= state.log.lastIndex()) {
                state.truncateFrom(entry.index());
            }
            state.append(entry);
        }
    }

    private long lastPossibleMatch(long previous) {
        if (previous > state.log.lastIndex()) {
            return state.log.lastIndex();
        }
        return Math.max(state.commitIndex, state.log.firstIndexOfTerm(previous) - 1);
    }

    private void respond(HostId host, AppendRequest request, boolean accepted, long index) {
        state.sendAfterSync(
                host,
                new AppendResponse(
                        state.headerTo(request.header().from()),
                        accepted,
                        request.previousIndex(),
                        index,
                        request.readRound()));
    }

    private void respondNotStored(HostId host, Message request, long readRound) {
        state.sendAfterSync(
                host, AppendResponse.notStored(state.headerTo(request.header().from()), readRound));
    }

    private void install(HostId host, SnapshotChunk chunk, Snapshot snapshot) {
        Membership membership;
        try {
            membership = Membership.decode(snapshot.membership());
        } catch (MalformedMessageException e) {
            return;
        }
        boolean keepTail = state.log.term(snapshot.lastIndex()) == snapshot.lastTerm();
        state.log.resetTo(snapshot.lastIndex(), snapshot.lastTerm());
        state.memberships.resetTo(snapshot.lastIndex(), membership, keepTail);
        state.commitIndex = snapshot.lastIndex();
        state.snapshot = Optional.of(snapshot);
        state.installedSnapshot = Optional.of(snapshot);
        acceptSnapshot(host, chunk);
    }

    private void acceptSnapshot(HostId host, SnapshotChunk chunk) {
        state.sendAfterSync(
                host,
                new AppendResponse(
                        state.headerTo(chunk.header().from()),
                        true,
                        chunk.lastIndex(),
                        chunk.lastIndex(),
                        chunk.readRound()));
    }
}
