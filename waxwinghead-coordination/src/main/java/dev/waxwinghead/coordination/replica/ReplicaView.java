package dev.waxwinghead.coordination.replica;

import dev.waxwinghead.coordination.consensus.ReplicaCore;
import dev.waxwinghead.coordination.log.LogStatus;
import dev.waxwinghead.model.id.HostId;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** Holds an immutable copy of the state of a {@link ReplicaCore}, for use by other threads. */
record ReplicaView(
        LogStatus.Role role,
        long term,
        Optional<HostId> leader,
        long commitIndex,
        OptionalLong lastContact,
        List<LogStatus.Member> members) {
    static ReplicaView of(ReplicaCore core) {
        return new ReplicaView(
                core.role(),
                core.term(),
                core.leaderHost(),
                core.commitIndex(),
                core.lastContact(),
                core.membership().members());
    }

    /** Returns a copy that knows no leader, for a replica that has stopped. */
    ReplicaView withoutLeader() {
        return new ReplicaView(role, term, Optional.empty(), commitIndex, lastContact, members);
    }
}
