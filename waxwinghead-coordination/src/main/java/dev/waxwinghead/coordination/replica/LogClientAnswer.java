package dev.waxwinghead.coordination.replica;

import dev.waxwinghead.coordination.consensus.MalformedMessageException;
import dev.waxwinghead.coordination.consensus.MembershipOutcome;
import dev.waxwinghead.coordination.consensus.PackReader;
import dev.waxwinghead.coordination.consensus.PackWriter;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.ReplicaId;
import java.util.Optional;

/** Lists the answers to {@link LogClientMessage}s. */
sealed interface LogClientAnswer {
    /** The proposal is committed, or the read confirmed, at an index; the result is empty for a read. */
    @SuppressWarnings("ArrayRecordComponent") // The result is shared, never compared.
    record Done(long index, byte[] result) implements LogClientAnswer {}

    /** The asked replica does not lead; nothing was done. */
    record NotLeader(Optional<HostId> leader) implements LogClientAnswer {}

    /** What became of a wish to join. */
    record Joined(MembershipOutcome outcome) implements LogClientAnswer {}

    /** What the asked replica knows. */
    record HelloAnswer(boolean knowsGroup, ReplicaId replica, String address) implements LogClientAnswer {}

    /** Turns answers into bytes and back. */
    final class Codec {
        private static final int DONE = 1;
        private static final int NOT_LEADER = 2;
        private static final int JOINED = 3;
        private static final int HELLO = 4;

        private Codec() {}

        static byte[] encode(LogClientAnswer answer) {
            PackWriter writer = new PackWriter();
            if (answer instanceof Done done) {
                writer.number(DONE).number(done.index()).bytes(done.result());
            } else if (answer instanceof NotLeader notLeader) {
                writer.number(NOT_LEADER).flag(notLeader.leader().isPresent());
                notLeader.leader().ifPresent(host -> writer.text(host.value()));
            } else if (answer instanceof Joined joined) {
                writer.number(JOINED).text(joined.outcome().name());
            } else if (answer instanceof HelloAnswer hello) {
                writer.number(HELLO)
                        .flag(hello.knowsGroup())
                        .text(hello.replica().value())
                        .text(hello.address());
            }
            return writer.toBytes();
        }

        static LogClientAnswer decode(byte[] bytes) throws MalformedMessageException {
            PackReader reader = new PackReader(bytes);
            LogClientAnswer answer = body(reader);
            reader.end();
            return answer;
        }

        private static LogClientAnswer body(PackReader reader) throws MalformedMessageException {
            int type = (int) reader.position();
            return switch (type) {
                case DONE -> new Done(reader.position(), reader.bytes());
                case JOINED -> new Joined(outcome(reader.text()));
                case HELLO -> new HelloAnswer(reader.flag(), reader.replica(), reader.text());
                case NOT_LEADER -> notLeader(reader);
                default -> throw new MalformedMessageException("unknown answer " + type);
            };
        }

        private static NotLeader notLeader(PackReader reader) throws MalformedMessageException {
            boolean known = reader.flag();
            return new NotLeader(known ? Optional.of(reader.host()) : Optional.empty());
        }

        private static MembershipOutcome outcome(String name) throws MalformedMessageException {
            for (MembershipOutcome outcome : MembershipOutcome.values()) {
                if (outcome.name().equals(name)) {
                    return outcome;
                }
            }
            throw new MalformedMessageException("unknown outcome");
        }
    }
}
