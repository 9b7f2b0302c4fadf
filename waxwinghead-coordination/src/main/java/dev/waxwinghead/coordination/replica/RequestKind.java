package dev.waxwinghead.coordination.replica;

import dev.waxwinghead.model.id.HostId;

/** Defines the effect of a request on the leader and the message that forwards the request to the leader. */
sealed interface RequestKind {
    /** Returns whether the request may change the replicated state or the membership. */
    boolean changesState();

    /** Returns the message that forwards the request to the leader. */
    LogClientMessage toMessage(long remainingMillis);

    /** Proposes a command. */
    @SuppressWarnings("ArrayRecordComponent") // The command is shared, never compared.
    record Proposal(byte[] command) implements RequestKind {
        @Override
        public boolean changesState() {
            return true;
        }

        @Override
        public LogClientMessage toMessage(long remainingMillis) {
            return new LogClientMessage.Propose(command, remainingMillis);
        }
    }

    /** Requests the confirmation of a read. */
    record ReadConfirmation() implements RequestKind {
        @Override
        public boolean changesState() {
            return false;
        }

        @Override
        public LogClientMessage toMessage(long remainingMillis) {
            return new LogClientMessage.Read(remainingMillis);
        }
    }

    /** Removes the replica of a host. */
    record Removal(HostId host) implements RequestKind {
        @Override
        public boolean changesState() {
            return true;
        }

        @Override
        public LogClientMessage toMessage(long remainingMillis) {
            return new LogClientMessage.Remove(host, remainingMillis);
        }
    }
}
