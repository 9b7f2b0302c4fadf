package dev.waxwinghead.coordination.replica;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.waxwinghead.coordination.log.LogStatus.Role;
import dev.waxwinghead.coordination.memory.MemoryStorage;
import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.coordination.replica.Cluster.Host;
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
    private static final Duration SHORT = Duration.ofSeconds(6);

    /** The longest time in which a host has to follow again once a cut has ended. */
    private static final Duration REJOIN_BOUND = Duration.ofSeconds(3);

    /** The longest time in which a restarted host has to be current. */
    private static final Duration RESTART_BOUND = Duration.ofSeconds(5);

    private static ErrorKind failureOf(CompletableFuture<?> future) {
        CompletionException failure = assertThrows(CompletionException.class, future::join);
        return WaxwingheadException.from(failure).kind();
    }

    private static WaxwingheadException reasonToStop(Host host) {
        return host.node()
                .failure()
                .orTimeout(Cluster.PATIENCE.toSeconds(), TimeUnit.SECONDS)
                .join();
    }

    private static List<String> change(Host host, int count) {
        List<String> texts =
                IntStream.rangeClosed(1, count).mapToObj(i -> "change " + i).toList();
        List<CompletableFuture<byte[]>> open = texts.stream().map(host::propose).toList();
        open.forEach(CompletableFuture::join);
        return texts;
    }

    private static Host anyBut(Cluster cluster, Host... others) {
        return cluster.hosts().stream()
                .filter(h -> !List.of(others).contains(h))
                .findFirst()
                .orElseThrow();
    }

    private static Host successorOf(Cluster cluster, Host old) {
        Cluster.await(() -> !cluster.leader().equals(old), "a successor of " + old.id());
        return cluster.leader();
    }

    private static void awaitWithin(Duration bound, Host host, List<String> texts) {
        Deadline deadline = Deadline.after(bound, Ticker.system());
        Cluster.await(() -> host.texts().all().equals(texts), host.id() + " to be current");
        assertThat(deadline.passed(Ticker.system())).isFalse();
    }

    @Nested
    class Proposals {
        @Test
        void ofEveryHostAreAppliedInOneOrder() {
            try (Cluster cluster = Cluster.start(3, 2, 1000)) {
                for (int i = 1; i <= 25; i++) {
                    byte[] result =
                            cluster.host(1 + i % 5).propose("change " + i).join();
                    assertThat(new String(result, UTF_8)).isEqualTo(Integer.toString(i));
                }
                List<String> all = cluster.host(1).texts().all();
                Cluster.await(
                        () -> cluster.hosts().stream()
                                .allMatch(h -> h.texts().all().equals(all)),
                        "all hosts to apply");
            }
        }

        @Test
        void thatQueueDuringASyncShareTheNextOne() {
            try (Cluster cluster = Cluster.start(1, 0, 1000)) {
                change(cluster.leader(), 1);
                FaultyStorage storage = cluster.host(1).faults();
                storage.holdSyncs();
                CompletableFuture<byte[]> first = cluster.host(1).propose("first");
                Cluster.await(() -> cluster.host(1).node().counters().writtenEntries() >= 4, "the first to be written");
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
        void withoutAMajorityAreRefusedAsNotAccepted() {
            try (Cluster cluster = Cluster.start(3, 0, 1000)) {
                Host cut = anyBut(cluster, cluster.leader());
                Cluster.await(() -> cut.node().status().majorityInReach(), "the leader to be known");
                cluster.network.cut(cut.id());
                Cluster.await(() -> !cut.node().status().majorityInReach(), "the cut to be noticed");
                Cluster.await(() -> cut.node().status().leader().isEmpty(), "the leader to be forgotten");
                assertThat(failureOf(cut.propose("lost", SHORT))).isEqualTo(ErrorKind.NO_MAJORITY);
                assertThat(failureOf(cut.readBarrier(SHORT))).isEqualTo(ErrorKind.NO_MAJORITY);
                assertThat(cut.node().status().outOfContactSinceEpochMillis()).isGreaterThan(0);
            }
        }

        @Test
        void pastTheBoundAreRefused() {
            try (Cluster cluster = Cluster.start(1, 0, 1000)) {
                assertThat(failureOf(cluster.host(1).propose("x".repeat(600_000))))
                        .isEqualTo(ErrorKind.TOO_LARGE);
            }
        }
    }

    @Nested
    class Leaders {
        @Test
        void cutOffNeitherAcknowledgeNorServeReadsAndFollowOnceTheCutEnds() {
            try (Cluster cluster = Cluster.start(3, 0, 1000)) {
                change(cluster.leader(), 3);
                Host old = cluster.leader();
                cluster.network.cut(old.id());
                CompletableFuture<byte[]> lost = old.propose("lost", SHORT);
                CompletableFuture<Long> stale = old.readBarrier(SHORT);
                Host successor = successorOf(cluster, old);
                successor.propose("accepted").join();
                assertThat(failureOf(stale)).isEqualTo(ErrorKind.NO_MAJORITY);
                assertThat(failureOf(lost)).isEqualTo(ErrorKind.UNKNOWN_OUTCOME);
                cluster.network.heal(old.id());
                awaitWithin(REJOIN_BOUND, old, List.of("change 1", "change 2", "change 3", "accepted"));
            }
        }

        @Test
        void pausedAndWokenNeitherAcknowledgeNorServeReads() {
            try (Cluster cluster = Cluster.start(3, 0, 1000)) {
                change(cluster.leader(), 3);
                Host old = cluster.leader();
                old.faults().holdSyncs();
                cluster.network.cut(old.id());
                CompletableFuture<byte[]> lost = old.propose("lost", Duration.ofSeconds(30));
                CompletableFuture<Long> read = old.readBarrier(Duration.ofSeconds(30));
                Host successor = successorOf(cluster, old);
                successor.propose("accepted").join();
                cluster.network.heal(old.id());
                old.faults().releaseSyncs();
                boolean acknowledged =
                        lost.handle((result, failure) -> failure == null).join();
                read.join();
                assertThat(old.texts().all()).contains("accepted");
                successor.readBarrier(Cluster.PATIENCE).join();
                assertThat(successor.texts().all().contains("lost")).isEqualTo(acknowledged);
            }
        }
    }

    @Nested
    class LostDisks {
        @Test
        void rejoinAsNewVotersSoThatASecondLossCostsNothing() {
            try (Cluster cluster = Cluster.start(3, 0, 20)) {
                List<String> texts = change(cluster.leader(), 50);
                Host first = anyBut(cluster, cluster.leader());
                loseDiskAndRejoin(cluster, first);
                Host second = anyBut(cluster, cluster.host(first.id()));
                loseDiskAndRejoin(cluster, second);
                for (Host host : cluster.hosts()) {
                    awaitWithin(Cluster.PATIENCE, host, texts);
                }
                cluster.host(first.id()).propose("more").join();
            }
        }

        @Test
        void neverFormASecondGroupOnTheLowestHost() {
            try (Cluster cluster = Cluster.start(3, 0, 1000)) {
                List<String> texts = change(cluster.leader(), 5);
                cluster.stop(HostId.of("e1"));
                cluster.stop(HostId.of("e2"));
                Host wiped = cluster.startEmpty(HostId.of("e1"));
                assertThat(failureOf(wiped.propose("lost", SHORT))).isEqualTo(ErrorKind.NO_MAJORITY);
                assertThat(wiped.node().status().role()).isEqualTo(Role.JOINING);
                assertThat(cluster.host(3).texts().all()).isEqualTo(texts);
            }
        }

        @Test
        void leaveARemovedIdentityThatIsRefusedForGood() {
            try (Cluster cluster = Cluster.start(3, 0, 1000)) {
                Host lost = anyBut(cluster, cluster.leader());
                loseDiskAndRejoin(cluster, lost);
                cluster.stop(lost.id());
                Host found = cluster.start(lost.id(), ((MemoryStorage) lost.storage()).reopenedAfterCrash());
                WaxwingheadException reason = reasonToStop(found);
                assertThat(reason).hasMessageThat().contains("empty this entry host's data folder");
                assertThat(failureOf(found.propose("lost"))).isEqualTo(ErrorKind.NO_MAJORITY);
            }
        }

        private void loseDiskAndRejoin(Cluster cluster, Host host) {
            ReplicaId old = cluster.stop(host.id()).storage().replicaId();
            Host back = cluster.startEmpty(host.id());
            Cluster.await(back::votes, host.id() + " to vote again");
            assertThat(back.storage().replicaId()).isNotEqualTo(old);
            assertThat(back.node().status().members().stream().map(m -> m.replica()))
                    .doesNotContain(old);
        }
    }

    @Nested
    class Restarts {
        @Test
        void areCurrentAfterManyChangesWithAndWithoutTheirDisk() {
            try (Cluster cluster = Cluster.start(3, 1, 200)) {
                Host leader = cluster.leader();
                Host restarted = anyBut(cluster, leader, cluster.host(4));
                cluster.stop(restarted.id());
                cluster.stop(HostId.of("e4"));
                List<String> texts = change(leader, 500);
                MemoryStorage disk = ((MemoryStorage) restarted.storage()).reopenedAfterCrash();
                awaitWithin(RESTART_BOUND, cluster.start(restarted.id(), disk), texts);
                Host empty = cluster.startEmpty(HostId.of("e4"));
                awaitWithin(RESTART_BOUND, empty, texts);
                assertThat(empty.node().counters().snapshotsInstalled()).isAtLeast(1);
            }
        }

        @Test
        void ofAllHostsKeepEveryAcceptedChange() {
            try (Cluster cluster = Cluster.start(3, 0, 30)) {
                List<String> texts = change(cluster.leader(), 100);
                List<Host> stopped = cluster.hosts();
                stopped.forEach(h -> cluster.stop(h.id()));
                stopped.forEach(h -> cluster.start(h.id(), ((MemoryStorage) h.storage()).reopenedAfterCrash()));
                for (Host host : cluster.hosts()) {
                    awaitWithin(Cluster.PATIENCE, host, texts);
                }
            }
        }
    }

    @Nested
    class Failures {
        @Test
        void ofTheStorageStopTheReplicaWhichSaysWhy() {
            try (Cluster cluster = Cluster.start(3, 0, 1000)) {
                Host leader = cluster.leader();
                change(leader, 1);
                leader.faults().failSyncs();
                assertThat(failureOf(leader.propose("lost"))).isEqualTo(ErrorKind.UNKNOWN_OUTCOME);
                assertThat(reasonToStop(leader)).hasMessageThat().contains("replace the disk");
                assertThat(failureOf(leader.propose("lost"))).isEqualTo(ErrorKind.NO_MAJORITY);
                assertThat(leader.node().status().majorityInReach()).isFalse();
                successorOf(cluster, leader).propose("accepted").join();
            }
        }

        @Test
        void ofTheStateMachineStopTheReplica() {
            try (Cluster cluster = Cluster.start(1, 0, 1000)) {
                CompletableFuture<byte[]> broken = cluster.leader().propose(Cluster.Texts.BROKEN);
                assertThat(reasonToStop(cluster.host(1)).kind()).isEqualTo(ErrorKind.INTERNAL);
                assertThat(failureOf(broken)).isEqualTo(ErrorKind.UNKNOWN_OUTCOME);
            }
        }

        @Test
        void ofDecodingAreCountedAndPassedOver() {
            try (Cluster cluster = Cluster.start(3, 0, 1000)) {
                Host host = cluster.leader();
                anyBut(cluster, host).port().send(host.id(), PeerChannel.CONSENSUS, new byte[] {1, 2, 3});
                Cluster.await(() -> host.node().counters().malformedMessages() == 1, "the message to be counted");
                change(host, 1);
            }
        }
    }

    @Nested
    class Removals {
        @Test
        void areFinalForTheReplica() {
            try (Cluster cluster = Cluster.start(3, 1, 1000)) {
                Host learner = cluster.host(4);
                Cluster.await(() -> learner.node().status().role() == Role.LEARNER, "the learner to join");
                Deadline deadline = Deadline.after(Cluster.PATIENCE, Ticker.system());
                cluster.host(2).node().removeMember(learner.id(), deadline).join();
                assertThat(reasonToStop(learner).kind()).isEqualTo(ErrorKind.UNAVAILABLE);
                assertThat(cluster.leader().node().status().members()).hasSize(3);
            }
        }
    }
}
