package dev.waxwinghead.coordination.replica;

import dev.waxwinghead.coordination.consensus.MalformedMessageException;
import dev.waxwinghead.coordination.consensus.MembershipOutcome;
import dev.waxwinghead.coordination.consensus.MessagePackReader;
import dev.waxwinghead.coordination.consensus.MessagePackWriter;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.ReplicaId;
import java.util.Optional;

/** Represents an answer to a {@link LogClientMessage}. */
sealed interface LogClientAnswer {
    /** Reports that a request is completed at an index. The result is empty unless the request was a proposal. */
    @SuppressWarnings("ArrayRecordComponent") // The result is shared, never compared.
    record Done(long index, byte[] result) implements LogClientAnswer {}

    /** Reports that the receiver isn't the leader and did nothing. */
    record NotLeader(Optional<HostId> leader) implements LogClientAnswer {}

    /** Reports the outcome of a request to join. */
    record Joined(MembershipOutcome outcome) implements LogClientAnswer {}

    /** Reports whether the receiver belongs to a group, and the identity and address of the receiver. */
    record GroupAnswer(boolean hasGroup, ReplicaId replica, String address) implements LogClientAnswer {}

    /** Encodes and decodes answers. */
    final class Codec {
        private static final int DONE = 1;
        private static final int NOT_LEADER = 2;
        private static final int JOINED = 3;
        private static final int GROUP_ANSWER = 4;

        private Codec() {}

        static byte[] encode(LogClientAnswer answer) {
            MessagePackWriter writer = new MessagePackWriter();
            if (answer instanceof Done done) {
                writer.writeLong(DONE).writeLong(done.index()).writeBytes(done.result());
            } else if (answer instanceof NotLeader notLeader) {
                writer.writeLong(NOT_LEADER).writeBoolean(notLeader.leader().isPresent());
                notLeader.leader().ifPresent(host -> writer.writeString(host.value()));
            } else if (answer instanceof Joined joined) {
                writer.writeLong(JOINED).writeString(joined.outcome().name());
            } else if (answer instanceof GroupAnswer groupAnswer) {
                writer.writeLong(GROUP_ANSWER)
                        .writeBoolean(groupAnswer.hasGroup())
                        .writeString(groupAnswer.replica().value())
                        .writeString(groupAnswer.address());
            }
            return writer.toBytes();
        }

        static LogClientAnswer decode(byte[] bytes) throws MalformedMessageException {
            MessagePackReader reader = new MessagePackReader(bytes);
            LogClientAnswer answer = decodeBody(reader);
            reader.requireEnd();
            return answer;
        }

        private static LogClientAnswer decodeBody(MessagePackReader reader) throws MalformedMessageException {
            int type = (int) reader.readNonNegativeLong();
            return switch (type) {
                case DONE -> new Done(reader.readNonNegativeLong(), reader.readBytes());
                case JOINED -> new Joined(decodeOutcome(reader.readString()));
                case GROUP_ANSWER -> new GroupAnswer(reader.readBoolean(), reader.readReplicaId(), reader.readString());
                case NOT_LEADER -> decodeNotLeader(reader);
                default -> throw new MalformedMessageException("unknown answer type " + type);
            };
        }

        private static NotLeader decodeNotLeader(MessagePackReader reader) throws MalformedMessageException {
            boolean known = reader.readBoolean();
            return new NotLeader(known ? Optional.of(reader.readHostId()) : Optional.empty());
        }

        private static MembershipOutcome decodeOutcome(String name) throws MalformedMessageException {
            for (MembershipOutcome outcome : MembershipOutcome.values()) {
                if (outcome.name().equals(name)) {
                    return outcome;
                }
            }
            throw new MalformedMessageException("unknown membership outcome");
        }
    }
}
