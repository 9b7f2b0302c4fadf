package dev.waxwinghead.daemon.jobs;

import dev.waxwinghead.daemon.codec.Packing;
import dev.waxwinghead.model.id.HostId;
import java.util.List;
import java.util.Optional;

/**
 * Tells an entry host without a replica who keeps the log.
 *
 * @param leader the leader, if one is known
 * @param members the hosts of the group
 * @param configured whether there are job classes
 */
record HostStatus(Optional<HostId> leader, List<HostId> members, boolean configured) {
    HostStatus {
        members = List.copyOf(members);
    }

    byte[] pack() {
        return Packing.pack(packer -> {
            Packing.optional(packer, leader.orElse(null));
            Packing.list(packer, members, (out, host) -> out.packString(host.value()));
            packer.packBoolean(configured);
        });
    }

    static HostStatus unpack(byte[] bytes) {
        return Packing.unpack(
                bytes,
                unpacker -> new HostStatus(
                        Optional.ofNullable(Packing.optional(unpacker)).map(HostId::of),
                        Packing.list(unpacker, in -> HostId.of(in.unpackString())),
                        unpacker.unpackBoolean()));
    }
}
