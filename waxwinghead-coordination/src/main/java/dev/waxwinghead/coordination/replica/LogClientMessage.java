package dev.waxwinghead.coordination.replica;

import dev.waxwinghead.coordination.consensus.MalformedMessageException;
import dev.waxwinghead.coordination.consensus.PackReader;
import dev.waxwinghead.coordination.consensus.PackWriter;
import dev.waxwinghead.coordination.log.LogStatus.Member;
import dev.waxwinghead.model.id.HostId;

/** Lists the requests that replicas send to each other for their users. */
sealed interface LogClientMessage {
    /** Proposes a command to the leader. */
    @SuppressWarnings("ArrayRecordComponent") // The command is shared, never compared.
    record Propose(byte[] command, long remainingMillis) implements LogClientMessage {}

    /** Asks the leader for a confirmed read index. */
    record Read(long remainingMillis) implements LogClientMessage {}

    /** Asks the leader to remove a host's replica. */
    record Remove(HostId host, long remainingMillis) implements LogClientMessage {}

    /** Asks the leader to be a member as given. */
    record Join(Member member) implements LogClientMessage {}

    /** Asks any replica whether it knows of a group. */
    record Hello() implements LogClientMessage {}

    /** Turns requests into bytes and back. */
    final class Codec {
        private static final int PROPOSE = 1;
        private static final int READ = 2;
        private static final int REMOVE = 3;
        private static final int JOIN = 4;
        private static final int HELLO = 5;

        private Codec() {}

        static byte[] encode(LogClientMessage message) {
            PackWriter writer = new PackWriter();
            if (message instanceof Propose propose) {
                writer.number(PROPOSE).bytes(propose.command()).number(propose.remainingMillis());
            } else if (message instanceof Read read) {
                writer.number(READ).number(read.remainingMillis());
            } else if (message instanceof Remove remove) {
                writer.number(REMOVE).text(remove.host().value()).number(remove.remainingMillis());
            } else if (message instanceof Join join) {
                writer.number(JOIN)
                        .text(join.member().host().value())
                        .text(join.member().replica().value())
                        .text(join.member().address())
                        .flag(join.member().voter());
            } else if (message instanceof Hello) {
                writer.number(HELLO);
            }
            return writer.toBytes();
        }

        static LogClientMessage decode(byte[] bytes) throws MalformedMessageException {
            PackReader reader = new PackReader(bytes);
            LogClientMessage message = body(reader);
            reader.end();
            return message;
        }

        private static LogClientMessage body(PackReader reader) throws MalformedMessageException {
            int type = (int) reader.position();
            return switch (type) {
                case PROPOSE -> new Propose(reader.bytes(), reader.position());
                case READ -> new Read(reader.position());
                case REMOVE -> new Remove(reader.host(), reader.position());
                case JOIN -> new Join(new Member(reader.host(), reader.replica(), reader.text(), reader.flag()));
                case HELLO -> new Hello();
                default -> throw new MalformedMessageException("unknown request " + type);
            };
        }
    }
}
