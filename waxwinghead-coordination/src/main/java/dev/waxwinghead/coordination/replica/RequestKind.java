package dev.waxwinghead.coordination.replica;

import dev.waxwinghead.model.id.HostId;

/** Tells what a request does at the leader and how it is passed on to one. */
sealed interface RequestKind {
    /** Tells whether the request, once at a leader, may change something. */
    boolean changesState();

    /** Returns the request as a message to the leader. */
    LogClientMessage message(long remainingMillis);

    /** Proposes a command. */
    @SuppressWarnings("ArrayRecordComponent") // The command is shared, never compared.
    record Proposal(byte[] command) implements RequestKind {
        @Override
        public boolean changesState() {
            return true;
        }

        @Override
        public LogClientMessage message(long remainingMillis) {
            return new LogClientMessage.Propose(command, remainingMillis);
        }
    }

    /** Confirms a read. */
    record ReadConfirmation() implements RequestKind {
        @Override
        public boolean changesState() {
            return false;
        }

        @Override
        public LogClientMessage message(long remainingMillis) {
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
        public LogClientMessage message(long remainingMillis) {
            return new LogClientMessage.Remove(host, remainingMillis);
        }
    }
}
