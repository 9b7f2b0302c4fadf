package dev.waxwinghead.daemon.jobs;

import dev.waxwinghead.daemon.codec.MessagePackCodec;
import dev.waxwinghead.model.id.HostId;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Describes the replicated log to an entry host without a replica.
 *
 * @param leader the leader of the log, or empty if unknown
 * @param members the hosts with a replica of the log
 * @param hasJobClasses whether a document of job classes is in force
 * @param epoch the epoch in which the described host itself acts as the scheduler, or empty if it does not act
 */
record HostStatus(Optional<HostId> leader, List<HostId> members, boolean hasJobClasses, OptionalLong epoch) {
    HostStatus {
        members = List.copyOf(members);
    }

    byte[] pack() {
        return MessagePackCodec.pack(packer -> {
            MessagePackCodec.optional(packer, leader.orElse(null));
            MessagePackCodec.list(packer, members, (out, host) -> out.packString(host.value()));
            packer.packBoolean(hasJobClasses);
            if (epoch.isPresent()) {
                packer.packLong(epoch.getAsLong());
            }
        });
    }

    static HostStatus unpack(byte[] bytes) {
        return MessagePackCodec.unpack(
                bytes,
                unpacker -> new HostStatus(
                        Optional.ofNullable(MessagePackCodec.optional(unpacker)).map(HostId::of),
                        MessagePackCodec.list(unpacker, in -> HostId.of(in.unpackString())),
                        unpacker.unpackBoolean(),
                        unpacker.hasNext() ? OptionalLong.of(unpacker.unpackLong()) : OptionalLong.empty()));
    }
}
