package dev.waxwinghead.coordination.consensus;

import dev.waxwinghead.coordination.log.LogStatus.Member;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.ReplicaId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Holds the members of a group and the replicas removed from it.
 *
 * @param group the random id that the group got when it was formed; 0 if there is no group
 * @param members the members; no host and no replica occurs twice
 * @param removed the replicas that may never rejoin, newest last
 * @since 0.1
 */
public record Membership(long group, List<Member> members, List<ReplicaId> removed) {
    /** The maximum number of removed replicas that are remembered. */
    static final int MAX_REMOVED = 512;

    /** The maximum number of members of a group. */
    public static final int MAX_MEMBERS = 64;

    /** The membership of a replica that doesn't belong to a group yet. */
    public static final Membership NONE = new Membership(0, List.of(), List.of());

    /** Creates a membership with unmodifiable copies of the lists. */
    public Membership {
        members = List.copyOf(members);
        removed = List.copyOf(removed);
    }

    /**
     * Returns the voting members.
     *
     * @return the voters, never null
     */
    public List<Member> voters() {
        return members.stream().filter(Member::voter).toList();
    }

    /**
     * Returns the member with a replica id.
     *
     * @param replica the replica id, not null
     * @return the member, empty if the replica isn't a member
     */
    public Optional<Member> member(ReplicaId replica) {
        return members.stream().filter(m -> m.replica().equals(replica)).findFirst();
    }

    /**
     * Returns the member on a host.
     *
     * @param host the host, not null
     * @return the member, empty if the host has none
     */
    public Optional<Member> member(HostId host) {
        return members.stream().filter(m -> m.host().equals(host)).findFirst();
    }

    /**
     * Returns whether a replica is a voter.
     *
     * @param replica the replica, not null
     * @return true if the replica is a voter
     */
    public boolean isVoter(ReplicaId replica) {
        return member(replica).map(Member::voter).orElse(false);
    }

    /**
     * Returns whether this and another membership differ in at most one voter, so that their majorities overlap.
     *
     * @param other the other membership, not null
     * @return true if at most one voter was added or removed
     */
    public boolean differsInAtMostOneVoter(Membership other) {
        long added = voters().stream().filter(m -> !other.isVoter(m.replica())).count();
        long dropped =
                other.voters().stream().filter(m -> !isVoter(m.replica())).count();
        return added + dropped <= 1;
    }

    Membership withMember(Member member) {
        List<Member> next = new ArrayList<>(members);
        next.removeIf(m -> m.replica().equals(member.replica()));
        next.add(member);
        return new Membership(group, next, removed);
    }

    /** Returns a copy without a member; the replica may join again. */
    Membership withoutMember(ReplicaId replica) {
        List<Member> next = new ArrayList<>(members);
        next.removeIf(m -> m.replica().equals(replica));
        return new Membership(group, next, removed);
    }

    /** Returns a copy in which a replica is removed permanently. */
    Membership withReplicaRemoved(ReplicaId replica) {
        List<ReplicaId> removedReplicas = new ArrayList<>(removed);
        removedReplicas.add(replica);
        int surplus = Math.max(0, removedReplicas.size() - MAX_REMOVED);
        return new Membership(
                group, withoutMember(replica).members(), removedReplicas.subList(surplus, removedReplicas.size()));
    }

    /**
     * Encodes the membership as the payload of a log entry.
     *
     * @return the bytes, never null
     */
    public byte[] encode() {
        MessagePackWriter writer = new MessagePackWriter();
        writer.writeLong(group).writeCount(members.size());
        for (Member member : members) {
            writer.writeString(member.host().value())
                    .writeString(member.replica().value())
                    .writeString(member.address())
                    .writeBoolean(member.voter());
        }
        writer.writeCount(removed.size());
        removed.forEach(replica -> writer.writeString(replica.value()));
        return writer.toBytes();
    }

    /**
     * Decodes the payload of a log entry.
     *
     * @param payload bytes that {@link #encode()} returned, not null
     * @return the membership, never null
     * @throws MalformedMessageException if the payload is malformed
     */
    public static Membership decode(byte[] payload) throws MalformedMessageException {
        MessagePackReader reader = new MessagePackReader(payload);
        long group = reader.readLong();
        int memberCount = reader.readCount(MAX_MEMBERS);
        List<Member> members = new ArrayList<>(memberCount);
        for (int i = 0; i < memberCount; i++) {
            members.add(
                    new Member(reader.readHostId(), reader.readReplicaId(), reader.readString(), reader.readBoolean()));
        }
        int removedCount = reader.readCount(MAX_REMOVED);
        List<ReplicaId> removed = new ArrayList<>(removedCount);
        for (int i = 0; i < removedCount; i++) {
            removed.add(reader.readReplicaId());
        }
        reader.requireEnd();
        return new Membership(group, members, removed);
    }
}
