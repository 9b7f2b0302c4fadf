package dev.waxwinghead.coordination.replica;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.waxwinghead.coordination.consensus.ConsensusSettings;
import dev.waxwinghead.coordination.log.LogStatus.Role;
import dev.waxwinghead.coordination.memory.MemoryStorage;
import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.coordination.replica.TestCluster.Host;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.ReplicaId;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ReplicaNodeTests {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(6);

    /** The longest time that an isolated host may take to catch up once it is reconnected. */
    private static final Duration REJOIN_BOUND = Duration.ofSeconds(3);

    /** The longest time that a restarted host may take to catch up. */
    private static final Duration RESTART_BOUND = Duration.ofSeconds(5);

    private static ErrorKind failureKind(CompletableFuture<?> future) {
        CompletionException failure = assertThrows(CompletionException.class, future::join);
        return WaxwingheadException.from(failure).kind();
    }

    private static WaxwingheadException awaitFailure(Host host) {
        return host.node()
                .failure()
                .orTimeout(TestCluster.TIMEOUT.toSeconds(), TimeUnit.SECONDS)
                .join();
    }

    private static List<String> proposeChanges(Host host, int count) {
        List<String> texts =
                IntStream.rangeClosed(1, count).mapToObj(i -> "change " + i).toList();
        List<CompletableFuture<byte[]>> open = texts.stream().map(host::propose).toList();
        open.forEach(CompletableFuture::join);
        return texts;
    }

    private static Host anyBut(TestCluster cluster, Host... others) {
        return cluster.hosts().stream()
                .filter(h -> !List.of(others).contains(h))
                .findFirst()
                .orElseThrow();
    }

    private static Host awaitSuccessor(TestCluster cluster, Host old) {
        TestCluster.await(() -> !cluster.leader().equals(old), "a successor of " + old.id());
        return cluster.leader();
    }

    private static void awaitWithin(Duration bound, Host host, List<String> texts) {
        Deadline deadline = Deadline.after(bound, Ticker.system());
        TestCluster.await(() -> host.stateMachine().all().equals(texts), host.id() + " to catch up");
        assertThat(deadline.passed(Ticker.system())).isFalse();
    }

    @Nested
    class Proposals {
        @Test
        void proposalsFromAllHostsAreAppliedInOneOrder() {
            try (TestCluster cluster = TestCluster.start(3, 2, 1000)) {
                for (int i = 1; i <= 25; i++) {
                    byte[] result =
                            cluster.host(1 + i % 5).propose("change " + i).join();
                    assertThat(new String(result, UTF_8)).isEqualTo(Integer.toString(i));
                }
                List<String> all = cluster.host(1).stateMachine().all();
                TestCluster.await(
                        () -> cluster.hosts().stream()
                                .allMatch(h -> h.stateMachine().all().equals(all)),
                        "all hosts to apply");
            }
        }

        @Test
        void proposalsQueuedDuringASyncShareTheNextSync() {
            try (TestCluster cluster = TestCluster.start(1, 0, 1000)) {
                proposeChanges(cluster.leader(), 1);
                FaultyStorage storage = cluster.host(1).faultyStorage();
                storage.holdSyncs();
                CompletableFuture<byte[]> first = cluster.host(1).propose("first");
                TestCluster.await(
                        () -> cluster.host(1).node().counters().writtenEntries() >= 4, "the first to be written");
                long before = cluster.host(1).node().counters().syncs();
                List<CompletableFuture<byte[]>> rest = new ArrayList<>();
                for (int i = 0; i < 100; i++) {
                    rest.add(cluster.host(1).propose("queued " + i));
                }
                storage.releaseSyncs();
                first.join();
                rest.forEach(CompletableFuture::join);
                assertThat(cluster.host(1).node().counters().syncs() - before).isAtMost(2);
            }
        }

        @Test
        void proposalsWithoutAMajorityFailAsNotAccepted() {
            try (TestCluster cluster = TestCluster.start(3, 0, 1000)) {
                Host isolated = anyBut(cluster, cluster.leader());
                TestCluster.await(() -> isolated.node().status().majorityInReach(), "the leader to be known");
                cluster.network.isolate(isolated.id());
                TestCluster.await(() -> !isolated.node().status().majorityInReach(), "the lost contact to be noticed");
                TestCluster.await(() -> isolated.node().status().leader().isEmpty(), "the leader to be cleared");
                assertThat(failureKind(isolated.propose("lost", REQUEST_TIMEOUT)))
                        .isEqualTo(ErrorKind.NO_MAJORITY);
                assertThat(failureKind(isolated.readBarrier(REQUEST_TIMEOUT))).isEqualTo(ErrorKind.NO_MAJORITY);
                assertThat(isolated.node().status().outOfContactSinceEpochMillis())
                        .isGreaterThan(0);
            }
        }

        @Test
        void oversizedProposalsAreRefused() {
            try (TestCluster cluster = TestCluster.start(1, 0, 1000)) {
                assertThat(failureKind(cluster.host(1).propose("x".repeat(600_000))))
                        .isEqualTo(ErrorKind.TOO_LARGE);
            }
        }
    }

    @Nested
    class Leaders {
        @Test
        void isolatedLeaderNeitherAcknowledgesNorServesReadsAndFollowsOnceReconnected() {
            try (TestCluster cluster = TestCluster.start(3, 0, 1000)) {
                proposeChanges(cluster.leader(), 3);
                Host old = cluster.leader();
                cluster.network.isolate(old.id());
                CompletableFuture<byte[]> lost = old.propose("lost", REQUEST_TIMEOUT);
                CompletableFuture<Long> stale = old.readBarrier(REQUEST_TIMEOUT);
                Host successor = awaitSuccessor(cluster, old);
                successor.propose("accepted").join();
                assertThat(failureKind(stale)).isEqualTo(ErrorKind.NO_MAJORITY);
                assertThat(failureKind(lost)).isEqualTo(ErrorKind.UNKNOWN_OUTCOME);
                cluster.network.reconnect(old.id());
                awaitWithin(REJOIN_BOUND, old, List.of("change 1", "change 2", "change 3", "accepted"));
            }
        }

        @Test
        void resumedLeaderAcknowledgesOnlyCommittedProposalsAndServesNoStaleReads() {
            try (TestCluster cluster = TestCluster.start(3, 0, 1000)) {
                proposeChanges(cluster.leader(), 3);
                Host old = cluster.leader();
                old.faultyStorage().holdSyncs();
                cluster.network.isolate(old.id());
                CompletableFuture<byte[]> lost = old.propose("lost", Duration.ofSeconds(30));
                CompletableFuture<Long> read = old.readBarrier(Duration.ofSeconds(30));
                Host successor = awaitSuccessor(cluster, old);
                successor.propose("accepted").join();
                cluster.network.reconnect(old.id());
                old.faultyStorage().releaseSyncs();
                boolean acknowledged =
                        lost.handle((result, failure) -> failure == null).join();
                read.join();
                assertThat(old.stateMachine().all()).contains("accepted");
                successor.readBarrier(TestCluster.TIMEOUT).join();
                assertThat(successor.stateMachine().all().contains("lost")).isEqualTo(acknowledged);
            }
        }
    }

    @Nested
    class LostDisks {
        @Test
        void hostsRejoinAsNewVotersAndTheGroupSurvivesASecondLoss() {
            try (TestCluster cluster = TestCluster.start(3, 0, 20)) {
                List<String> texts = proposeChanges(cluster.leader(), 50);
                Host first = anyBut(cluster, cluster.leader());
                loseDiskAndRejoin(cluster, first);
                Host second = anyBut(cluster, cluster.host(first.id()));
                loseDiskAndRejoin(cluster, second);
                for (Host host : cluster.hosts()) {
                    awaitWithin(TestCluster.TIMEOUT, host, texts);
                }
                cluster.host(first.id()).propose("more").join();
            }
        }

        @Test
        void neverFormASecondGroupOnTheLowestHost() {
            try (TestCluster cluster = TestCluster.start(3, 0, 1000)) {
                List<String> texts = proposeChanges(cluster.leader(), 5);
                awaitWithin(TestCluster.TIMEOUT, cluster.host(3), texts);
                cluster.stop(HostId.of("e1"));
                cluster.stop(HostId.of("e2"));
                Host wiped = cluster.startEmpty(HostId.of("e1"));
                assertThat(failureKind(wiped.propose("lost", REQUEST_TIMEOUT))).isEqualTo(ErrorKind.NO_MAJORITY);
                assertThat(wiped.node().status().role()).isEqualTo(Role.JOINING);
                assertThat(cluster.host(3).stateMachine().all()).isEqualTo(texts);
            }
        }

        @Test
        void removedReplicaIsRefusedWhenItsDiskReturns() {
            try (TestCluster cluster = TestCluster.start(3, 0, 1000)) {
                Host lost = anyBut(cluster, cluster.leader());
                loseDiskAndRejoin(cluster, lost);
                cluster.stop(lost.id());
                Host returned = cluster.start(lost.id(), ((MemoryStorage) lost.storage()).reopenAfterCrash());
                WaxwingheadException reason = awaitFailure(returned);
                assertThat(reason).hasMessageThat().contains("empty this entry host's data folder");
                assertThat(failureKind(returned.propose("lost"))).isEqualTo(ErrorKind.NO_MAJORITY);
            }
        }

        private void loseDiskAndRejoin(TestCluster cluster, Host host) {
            ReplicaId old = cluster.stop(host.id()).storage().replicaId();
            Host rejoined = cluster.startEmpty(host.id());
            TestCluster.await(rejoined::isVoter, host.id() + " to vote again");
            assertThat(rejoined.storage().replicaId()).isNotEqualTo(old);
            assertThat(rejoined.node().status().members().stream().map(m -> m.replica()))
                    .doesNotContain(old);
        }
    }

    @Nested
    class Restarts {
        @Test
        void restartedHostsCatchUpWithAndWithoutTheirDisk() {
            try (TestCluster cluster = TestCluster.start(3, 1, 200)) {
                Host leader = cluster.leader();
                Host restarted = anyBut(cluster, leader, cluster.host(4));
                cluster.stop(restarted.id());
                cluster.stop(HostId.of("e4"));
                List<String> texts = proposeChanges(leader, 500);
                MemoryStorage disk = ((MemoryStorage) restarted.storage()).reopenAfterCrash();
                awaitWithin(RESTART_BOUND, cluster.start(restarted.id(), disk), texts);
                Host empty = cluster.startEmpty(HostId.of("e4"));
                awaitWithin(RESTART_BOUND, empty, texts);
                assertThat(empty.node().counters().snapshotsInstalled()).isAtLeast(1);
            }
        }

        @Test
        void restartOfAllHostsKeepsEveryAcceptedChange() {
            try (TestCluster cluster = TestCluster.start(3, 0, 30)) {
                List<String> texts = proposeChanges(cluster.leader(), 100);
                List<Host> stopped = cluster.hosts();
                stopped.forEach(h -> cluster.stop(h.id()));
                stopped.forEach(h -> cluster.start(h.id(), ((MemoryStorage) h.storage()).reopenAfterCrash()));
                for (Host host : cluster.hosts()) {
                    awaitWithin(TestCluster.TIMEOUT, host, texts);
                }
            }
        }
    }

    @Nested
    class Failures {
        @Test
        void storageFailureStopsTheReplicaAndIsReported() {
            try (TestCluster cluster = TestCluster.start(3, 0, 1000)) {
                Host leader = cluster.leader();
                proposeChanges(leader, 1);
                leader.faultyStorage().failSyncs();
                assertThat(failureKind(leader.propose("lost"))).isEqualTo(ErrorKind.UNKNOWN_OUTCOME);
                assertThat(awaitFailure(leader)).hasMessageThat().contains("replace the disk");
                assertThat(failureKind(leader.propose("lost"))).isEqualTo(ErrorKind.NO_MAJORITY);
                assertThat(leader.node().status().majorityInReach()).isFalse();
                assertThat(leader.node().status().leader()).isEmpty();
                awaitSuccessor(cluster, leader).propose("accepted").join();
            }
        }

        @Test
        void handlerOfAFailureCanCloseTheReplica() throws Exception {
            TestCluster cluster = TestCluster.start(1, 0, 1000);
            Host host = cluster.leader();
            CompletableFuture<Void> closed =
                    host.node().failure().thenAccept(cause -> host.node().close());
            host.faultyStorage().failSyncs();
            CompletableFuture<byte[]> lost = host.propose("lost");
            closed.get(TestCluster.TIMEOUT.toSeconds(), TimeUnit.SECONDS);
            assertThat(failureKind(lost)).isEqualTo(ErrorKind.UNKNOWN_OUTCOME);
            cluster.close();
        }

        @Test
        void errorOnTheThreadOfTheReplicaStopsTheReplicaAndIsReported() {
            try (TestCluster cluster = TestCluster.start(3, 0, 1000)) {
                Host leader = cluster.leader();
                proposeChanges(leader, 1);
                leader.faultyStorage().failSyncsWith(new StackOverflowError("out of stack"));
                CompletableFuture<byte[]> lost = leader.propose("lost", REQUEST_TIMEOUT);
                assertThat(awaitFailure(leader).kind()).isEqualTo(ErrorKind.INTERNAL);
                assertThat(failureKind(lost)).isEqualTo(ErrorKind.UNKNOWN_OUTCOME);
                awaitSuccessor(cluster, leader).propose("accepted").join();
            }
        }

        @Test
        void stateMachineFailureStopsTheReplica() {
            try (TestCluster cluster = TestCluster.start(1, 0, 1000)) {
                CompletableFuture<byte[]> broken =
                        cluster.leader().propose(TestCluster.TextStateMachine.FAILING_COMMAND);
                assertThat(awaitFailure(cluster.host(1)).kind()).isEqualTo(ErrorKind.INTERNAL);
                assertThat(failureKind(broken)).isEqualTo(ErrorKind.UNKNOWN_OUTCOME);
            }
        }

        @Test
        void malformedMessagesAreCountedAndDropped() {
            try (TestCluster cluster = TestCluster.start(3, 0, 1000)) {
                Host host = cluster.leader();
                anyBut(cluster, host).port().send(host.id(), PeerChannel.CONSENSUS, new byte[] {1, 2, 3});
                TestCluster.await(() -> host.node().counters().malformedMessages() == 1, "the message to be counted");
                proposeChanges(host, 1);
            }
        }
    }

    @Nested
    class RefusedWrites {
        private static final Duration SEVERAL_ELECTION_TIMEOUTS =
                ConsensusSettings.defaults().electionTimeoutMax().multipliedBy(4);

        @Test
        void leaderIsSucceededByAHostThatStoresAndCatchesUpOnceItStoresAgain() {
            try (TestCluster cluster = TestCluster.start(3, 0, 1000)) {
                Host leader = cluster.leader();
                proposeChanges(leader, 1);
                leader.faultyStorage().refuseWrites(true);
                CompletableFuture<byte[]> interrupted = leader.propose("interrupted", REQUEST_TIMEOUT);
                Host successor = awaitSuccessor(cluster, leader);
                successor.propose("accepted").join();
                assertThat(leader.node().failure().isDone()).isFalse();
                leader.faultyStorage().refuseWrites(false);
                successor.propose("more").join();
                interrupted.handle((result, failure) -> null).join();
                awaitWithin(
                        TestCluster.TIMEOUT, leader, successor.stateMachine().all());
            }
        }

        @Test
        void leaderKeepsItsTermAndItsReadsWhileNoHostStores() throws InterruptedException {
            try (TestCluster cluster = TestCluster.start(3, 0, 1000)) {
                Host leader = cluster.leader();
                proposeChanges(leader, 1);
                long term = leader.node().status().term();
                cluster.hosts().forEach(host -> host.faultyStorage().refuseWrites(true));
                CompletableFuture<byte[]> first = leader.propose("first");
                long endNanos = System.nanoTime() + SEVERAL_ELECTION_TIMEOUTS.toNanos();
                while (System.nanoTime() - endNanos < 0) {
                    assertThat(leader.node().status().majorityInReach()).isTrue();
                    assertThat(leader.node().status().leader()).hasValue(leader.id());
                    TimeUnit.MILLISECONDS.sleep(20);
                }
                leader.readBarrier(REQUEST_TIMEOUT).join();
                assertThat(failureKind(leader.propose("refused", REQUEST_TIMEOUT)))
                        .isEqualTo(ErrorKind.NO_MAJORITY);
                cluster.hosts().forEach(host -> host.faultyStorage().refuseWrites(false));
                first.join();
                leader.propose("last").join();
                assertThat(leader.node().status().term()).isEqualTo(term);
                assertThat(leader.stateMachine().all())
                        .containsExactly("change 1", "first", "last")
                        .inOrder();
            }
        }

        @Test
        void changesFailAtOnceWhileTheFollowersDontStore() {
            try (TestCluster cluster = TestCluster.start(3, 0, 1000)) {
                Host leader = cluster.leader();
                proposeChanges(leader, 1);
                cluster.hosts().stream()
                        .filter(host -> !host.equals(leader))
                        .forEach(host -> host.faultyStorage().refuseWrites(true));
                CompletableFuture<byte[]> first = leader.propose("first");
                TestCluster.await(
                        () -> cluster.hosts().stream()
                                .filter(host -> !host.equals(leader))
                                .allMatch(host -> host.node().counters().refusedWrites() > 0),
                        "the followers to refuse");
                TestCluster.await(
                        () -> leader.propose("refused", Duration.ofMillis(50)).isCompletedExceptionally(),
                        "the leader to know");
                cluster.hosts().forEach(host -> host.faultyStorage().refuseWrites(false));
                first.join();
            }
        }

        @Test
        void refusedSnapshotsStopNoReplica() {
            try (TestCluster cluster = TestCluster.start(3, 0, 10)) {
                Host leader = cluster.leader();
                Host follower = anyBut(cluster, leader);
                follower.faultyStorage().refuseWrites(true);
                for (int i = 0; i < 10; i++) {
                    proposeChanges(leader, 10);
                }
                follower.faultyStorage().refuseWrites(false);
                proposeChanges(leader, 1);
                awaitWithin(TestCluster.TIMEOUT, follower, leader.stateMachine().all());
            }
        }
    }

    @Nested
    class Removals {
        @Test
        void removedReplicaStopsAndLeavesTheMembership() {
            try (TestCluster cluster = TestCluster.start(3, 1, 1000)) {
                Host learner = cluster.host(4);
                TestCluster.await(() -> learner.node().status().role() == Role.LEARNER, "the learner to join");
                Deadline deadline = Deadline.after(TestCluster.TIMEOUT, Ticker.system());
                cluster.host(2).node().removeMember(learner.id(), deadline).join();
                assertThat(awaitFailure(learner).kind()).isEqualTo(ErrorKind.UNAVAILABLE);
                assertThat(cluster.leader().node().status().members()).hasSize(3);
            }
        }
    }
}
