package dev.waxwinghead.coordination.replica;

import dev.waxwinghead.coordination.consensus.MalformedMessageException;
import dev.waxwinghead.coordination.consensus.MessagePackReader;
import dev.waxwinghead.coordination.consensus.MessagePackWriter;
import dev.waxwinghead.coordination.log.LogStatus.Member;
import dev.waxwinghead.model.id.HostId;

/** Represents a request to another replica that isn't part of the consensus protocol. */
sealed interface LogClientMessage {
    /** Proposes a command to the leader. */
    @SuppressWarnings("ArrayRecordComponent") // The command is shared, never compared.
    record Propose(byte[] command, long remainingMillis) implements LogClientMessage {}

    /** Requests a confirmed read index from the leader. */
    record Read(long remainingMillis) implements LogClientMessage {}

    /** Requests that the leader removes the replica of a host. */
    record Remove(HostId host, long remainingMillis) implements LogClientMessage {}

    /** Requests membership, with the settings of the given member, from the leader. */
    record Join(Member member) implements LogClientMessage {}

    /** Queries whether the receiver belongs to a group. */
    record GroupQuery() implements LogClientMessage {}

    /** Encodes and decodes requests. */
    final class Codec {
        private static final int PROPOSE = 1;
        private static final int READ = 2;
        private static final int REMOVE = 3;
        private static final int JOIN = 4;
        private static final int GROUP_QUERY = 5;

        private Codec() {}

        static byte[] encode(LogClientMessage message) {
            MessagePackWriter writer = new MessagePackWriter();
            if (message instanceof Propose propose) {
                writer.writeLong(PROPOSE).writeBytes(propose.command()).writeLong(propose.remainingMillis());
            } else if (message instanceof Read read) {
                writer.writeLong(READ).writeLong(read.remainingMillis());
            } else if (message instanceof Remove remove) {
                writer.writeLong(REMOVE).writeString(remove.host().value()).writeLong(remove.remainingMillis());
            } else if (message instanceof Join join) {
                writer.writeLong(JOIN)
                        .writeString(join.member().host().value())
                        .writeString(join.member().replica().value())
                        .writeString(join.member().address())
                        .writeBoolean(join.member().voter());
            } else if (message instanceof GroupQuery) {
                writer.writeLong(GROUP_QUERY);
            }
            return writer.toBytes();
        }

        static LogClientMessage decode(byte[] bytes) throws MalformedMessageException {
            MessagePackReader reader = new MessagePackReader(bytes);
            LogClientMessage message = decodeBody(reader);
            reader.requireEnd();
            return message;
        }

        private static LogClientMessage decodeBody(MessagePackReader reader) throws MalformedMessageException {
            int type = (int) reader.readNonNegativeLong();
            return switch (type) {
                case PROPOSE -> new Propose(reader.readBytes(), reader.readNonNegativeLong());
                case READ -> new Read(reader.readNonNegativeLong());
                case REMOVE -> new Remove(reader.readHostId(), reader.readNonNegativeLong());
                case JOIN ->
                    new Join(new Member(
                            reader.readHostId(), reader.readReplicaId(), reader.readString(), reader.readBoolean()));
                case GROUP_QUERY -> new GroupQuery();
                default -> throw new MalformedMessageException("unknown request type " + type);
            };
        }
    }
}
