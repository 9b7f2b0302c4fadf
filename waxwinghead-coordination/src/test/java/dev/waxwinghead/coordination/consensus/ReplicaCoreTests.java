package dev.waxwinghead.coordination.consensus;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.waxwinghead.coordination.consensus.Message.Header;
import dev.waxwinghead.coordination.consensus.Message.VoteRequest;
import dev.waxwinghead.coordination.log.LogStatus.Member;
import dev.waxwinghead.coordination.log.LogStatus.Role;
import dev.waxwinghead.coordination.memory.MemoryStorage;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.ReplicaId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class ReplicaCoreTests {
    private static final ConsensusSettings SETTINGS = ConsensusSettings.defaults();
    private static final HostId E1 = HostId.of("e1");
    private static final ReplicaId R1 = ReplicaId.of("r1");
    private static final ReplicaId R2 = ReplicaId.of("r2");
    private static final List<Member> MEMBERS =
            List.of(new Member(E1, R1, "a:1", true), new Member(HostId.of("e2"), R2, "a:2", true));

    private final ReplicaCore first = createCore(R1);
    private final ReplicaCore second = createCore(R2);
    private long now;

    @Test
    void isolatedVoterNeverRaisesItsTerm() {
        first.formGroup(7, MEMBERS);
        for (int i = 0; i < 100; i++) {
            advanceTime(SETTINGS.electionTimeoutMax());
            processReady(first);
        }
        assertThat(first.term()).isEqualTo(1);
        assertThat(first.role()).isEqualTo(Role.CANDIDATE);
    }

    @Test
    void leaderWithoutAMajorityStepsDownBeforeItTakesAProposal() {
        electFirst();
        advanceTime(SETTINGS.electionTimeoutMin());
        assertThat(first.isLeader()).isFalse();
        assertThat(first.propose(new byte[1])).isEqualTo(OptionalLong.empty());
    }

    @Test
    void followerWithRecentLeaderContactRefusesVoteAndKeepsItsTerm() {
        electFirst();
        long term = second.term();
        VoteRequest request = new VoteRequest(new Header(7, ReplicaId.of("r3"), R2, term + 5), false, 99, term);
        second.receive(HostId.of("e3"), request);
        assertThat(second.term()).isEqualTo(term);
    }

    @Test
    void messageForAnEarlierReplicaOfTheHostIsDropped() {
        VoteRequest request = new VoteRequest(new Header(7, R1, ReplicaId.of("r0"), 9), false, 9, 9);
        assertThat(second.receive(E1, request)).isFalse();
        assertThat(second.term()).isEqualTo(0);
    }

    @Test
    void messageOfAnotherGroupIsDropped() {
        electFirst();
        VoteRequest request = new VoteRequest(new Header(8, R1, R2, 9), false, 99, 9);
        assertThat(second.receive(E1, request)).isFalse();
    }

    @Property(tries = 2000)
    void arbitraryBytesAreDecodedOrRefusedAsMalformed(@ForAll byte[] bytes) {
        try {
            assertThat(MessageCodec.decode(bytes)).isNotNull();
        } catch (MalformedMessageException e) {
            assertThat(e).hasMessageThat().isNotEmpty();
        }
    }

    @Test
    void statedLengthBeyondTheMessageIsRefused() {
        byte[] bytes = MessageCodec.encode(new VoteRequest(new Header(7, R1, R2, 9), false, 9, 9));
        bytes[2] = (byte) 0xdb;
        assertThrows(MalformedMessageException.class, () -> MessageCodec.decode(bytes));
    }

    @Test
    void resignedLeaderIsReplacedWithoutAnElectionTimeout() {
        electFirst();
        first.resign();
        exchangeMessages();
        assertThat(first.isLeader()).isFalse();
        now += SETTINGS.heartbeatInterval().toNanos();
        second.tick(now);
        exchangeMessages();
        assertThat(second.isLeader()).isTrue();
    }

    @Test
    void caughtUpLearnerIsPromotedWhileVotersAreBelowTheTarget() {
        electFirst();
        HostId host = HostId.of("e3");
        ReplicaId replica = ReplicaId.of("r3");
        ReplicaCore third = createCore(replica);
        first.join(new Member(host, replica, "a:3", false));
        exchangeMessages(third);
        first.balanceVoters(3);
        exchangeMessages(third);
        assertThat(first.membership().isVoter(replica)).isTrue();
        assertThat(first.membership().voters()).hasSize(3);
    }

    @Test
    void surplusVoterOtherThanTheLeaderIsDemoted() {
        electFirst();
        ReplicaId replica = ReplicaId.of("r3");
        ReplicaCore third = createCore(replica);
        first.join(new Member(HostId.of("e3"), replica, "a:3", false));
        exchangeMessages(third);
        first.balanceVoters(1);
        exchangeMessages(third);
        assertThat(first.membership().voters()).hasSize(1);
        assertThat(first.membership().isVoter(R1)).isTrue();
    }

    @Test
    void surplusVoterThatIsGoneIsDemotedBeforeOneThatAnswers() {
        Group group = new Group(List.of("r1", "r2", "r3"));
        group.stop("r2");
        group.addLearner("r4");
        group.leader().balanceVoters(4);
        for (int i = 0; i < 5; i++) {
            group.advanceTime(Duration.ofMillis(100));
        }
        assertThat(group.voters()).containsExactly("r1", "r2", "r3", "r4");
        group.leader().balanceVoters(3);
        assertThat(group.voters()).containsExactly("r1", "r3", "r4");
    }

    @Test
    void voterThatAnswersButStoresNothingIsReplaced() {
        Group group = new Group(List.of("r1", "r2", "r3"));
        group.addLearner("r4");
        group.dropEntriesTo("r3");
        for (int i = 0; i < 50; i++) {
            group.leader().propose(new byte[1]);
            group.advanceTime(Duration.ofMillis(100));
            group.leader().balanceVoters(3);
        }
        assertThat(group.voters()).containsExactly("r1", "r2", "r4");
    }

    @Test
    void votersThatStoreEntriesAfterAnIdleTimeKeepTheirVotes() {
        Group group = new Group(List.of("r1", "r2", "r3"));
        group.addLearner("r4");
        for (int i = 0; i < 3; i++) {
            for (int idle = 0; idle < 50; idle++) {
                group.advanceTime(Duration.ofMillis(100));
                group.leader().balanceVoters(3);
            }
            group.leader().propose(new byte[1]);
            group.leader().balanceVoters(3);
            group.advanceTime(Duration.ofMillis(100));
        }
        assertThat(group.voters()).containsExactly("r1", "r2", "r3");
    }

    @Test
    void followerSendsNoAnswerThatWasQueuedBeforeARefusedSnapshot() {
        electFirst();
        first.propose(new byte[1]);
        processReady(first).forEach(outbound -> second.receive(E1, outbound.message()));
        second.markRefused();
        assertThat(second.ready().afterSync()).isEmpty();
    }

    @Test
    void learnerThatRefusesWritesIsNotPromoted() {
        Group group = new Group(List.of("r1", "r2", "r3"));
        group.addLearner("r4");
        group.stop("r3");
        group.refuseWrites("r4");
        for (int i = 0; i < 50; i++) {
            group.advanceTime(Duration.ofMillis(100));
            group.leader().balanceVoters(3);
        }
        assertThat(group.voters()).containsExactly("r1", "r2", "r3");
    }

    @Test
    void resignationOfAReplicaThatDoesNotLeadIsIgnored() {
        electFirst();
        second.receive(HostId.of("e3"), new Message.Resignation(new Header(7, ReplicaId.of("r3"), R2, second.term())));
        assertThat(second.leaderHost().isPresent()).isTrue();
    }

    private void exchangeMessages() {
        for (int i = 0; i < 10; i++) {
            processReady(first).forEach(outbound -> second.receive(E1, outbound.message()));
            processReady(second).forEach(outbound -> first.receive(HostId.of("e2"), outbound.message()));
        }
    }

    private void exchangeMessages(ReplicaCore third) {
        for (int i = 0; i < 10; i++) {
            processReady(first).forEach(outbound -> {
                second.receive(E1, outbound.message());
                third.receive(E1, outbound.message());
            });
            processReady(second).forEach(outbound -> first.receive(HostId.of("e2"), outbound.message()));
            processReady(third).forEach(outbound -> first.receive(HostId.of("e3"), outbound.message()));
        }
    }

    private void electFirst() {
        first.formGroup(7, MEMBERS);
        now++;
        first.tick(now);
        for (int i = 0; i < 10; i++) {
            processReady(first).forEach(outbound -> second.receive(E1, outbound.message()));
            processReady(second).forEach(outbound -> first.receive(HostId.of("e2"), outbound.message()));
        }
        assertThat(first.isLeader()).isTrue();
        assertThat(second.role()).isEqualTo(Role.FOLLOWER);
    }

    private void advanceTime(Duration time) {
        now += time.toNanos();
        first.tick(now);
        second.tick(now);
    }

    private static List<Ready.Outbound> processReady(ReplicaCore core) {
        List<Ready.Outbound> sent = new ArrayList<>();
        for (Ready ready = core.ready(); !ready.isEmpty(); ready = core.ready()) {
            core.markPersisted();
            sent.addAll(ready.immediate());
            sent.addAll(ready.afterSync());
        }
        return sent;
    }

    private static ReplicaCore createCore(ReplicaId replica) {
        return ReplicaCore.create(
                SETTINGS, replica, MemoryStorage.create(replica).recovered(), new Random(1), 0);
    }

    /** A group whose first replica leads; messages arrive at once. */
    private static final class Group {
        private final Map<ReplicaId, ReplicaCore> cores = new LinkedHashMap<>();
        private final Set<ReplicaId> withoutEntries = new HashSet<>();
        private long now;

        Group(List<String> voters) {
            voters.forEach(voter -> cores.put(ReplicaId.of(voter), createCore(ReplicaId.of(voter))));
            leader().formGroup(
                            7, voters.stream().map(voter -> member(voter, true)).toList());
            advanceTime(Duration.ofNanos(1));
            assertThat(leader().isLeader()).isTrue();
        }

        ReplicaCore leader() {
            return cores.values().iterator().next();
        }

        void addLearner(String learner) {
            cores.put(ReplicaId.of(learner), createCore(ReplicaId.of(learner)));
            leader().join(member(learner, false));
            exchangeMessages();
        }

        void stop(String replica) {
            cores.remove(ReplicaId.of(replica));
        }

        void refuseWrites(String replica) {
            cores.get(ReplicaId.of(replica)).markRefused();
        }

        /** Drops the messages with entries to a replica, which then answers as one that restarts instead of storing. */
        void dropEntriesTo(String replica) {
            withoutEntries.add(ReplicaId.of(replica));
        }

        void advanceTime(Duration time) {
            now += time.toNanos();
            cores.values().forEach(core -> core.tick(now));
            exchangeMessages();
        }

        List<String> voters() {
            return leader().membership().voters().stream()
                    .map(voter -> voter.replica().value())
                    .toList();
        }

        private void exchangeMessages() {
            for (int i = 0; i < 10; i++) {
                cores.forEach(
                        (from, core) -> processReady(core).forEach(outbound -> deliver(from, outbound.message())));
            }
        }

        private void deliver(ReplicaId from, Message message) {
            ReplicaId to = message.header().to();
            boolean dropped = withoutEntries.contains(to)
                    && message instanceof Message.AppendRequest request
                    && !request.entries().isEmpty();
            if (!dropped && cores.containsKey(to)) {
                cores.get(to).receive(HostId.of("host-" + from.value()), message);
            }
        }

        private static Member member(String replica, boolean voter) {
            return new Member(HostId.of("host-" + replica), ReplicaId.of(replica), replica + ":1", voter);
        }
    }
}
