package dev.waxwinghead.daemon.jobs;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.waxwinghead.coordination.peer.PeerAddress;
import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.coordination.peer.PeerNetwork;
import dev.waxwinghead.daemon.callers.ManualClock;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.lifecycle.Closer;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.scheduling.job.SchedulerTimes;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class JobGatewayTests {
    private static final HostId SEED = HostId.of("10.0.0.1");
    private static final JobTarget TARGET = new JobTarget("seats.test", "/quote/7");
    private static final JobCall CANCEL = new JobCall.Cancel(TARGET);
    private static final Duration CALLER_TIME = Duration.ofSeconds(3);
    private static final JobCall READ = new JobCall.Read(TARGET);

    private final Closer closer = Closer.create();
    private final ScriptedNetwork network = new ScriptedNetwork();
    private final ManualClock clock = new ManualClock();
    private final JobGateway gateway =
            JobGateway.start(settings(), clock, network, clock.timer(), new SimpleMeterRegistry(), closer);

    @AfterEach
    void closeGateway() {
        gateway.close();
    }

    static JobHostSettings settings() {
        SchedulerTimes times = new SchedulerTimes(
                Duration.ofSeconds(10), Duration.ofSeconds(2), Duration.ofSeconds(60), Duration.ofMillis(100));
        return new JobHostSettings(
                "test",
                HostId.of("10.0.0.9"),
                DataCentreId.of("dc-1"),
                7000,
                () -> List.of(SEED),
                Optional.empty(),
                false,
                3,
                times);
    }

    private WaxwingheadException failureOf(JobCall call) {
        CompletableFuture<JobAnswer> answer = gateway.call(call, Deadline.after(CALLER_TIME, clock));
        clock.advance(CALLER_TIME.toNanos());
        assertThat(answer.isDone()).isTrue();
        return WaxwingheadException.from(assertThrows(CompletionException.class, answer::join));
    }

    @Nested
    class ModifyingCalls {
        @ParameterizedTest
        @EnumSource(names = {"LIMITED", "NOT_FOUND", "INVALID_INPUT", "CONFLICT", "TOO_LARGE"})
        void doNotFailAsRefusedOnceAnAttemptMayHaveRun(ErrorKind refusal) {
            network.fail(ErrorKind.UNKNOWN_OUTCOME);
            network.failAlways(refusal);
            assertThat(failureOf(CANCEL).kind()).isEqualTo(ErrorKind.UNKNOWN_OUTCOME);
        }

        @Test
        void doNotFailAsUnavailableOnceAnAttemptMayHaveRun() {
            network.fail(ErrorKind.UNKNOWN_OUTCOME);
            network.failAlways(ErrorKind.UNAVAILABLE);
            assertThat(failureOf(CANCEL).kind()).isEqualTo(ErrorKind.UNKNOWN_OUTCOME);
        }

        @Test
        void failAsRefusedIfNoAttemptCanHaveRun() {
            network.fail(ErrorKind.UNAVAILABLE);
            network.fail(ErrorKind.LIMITED);
            assertThat(failureOf(CANCEL).kind()).isEqualTo(ErrorKind.LIMITED);
        }

        @Test
        void nameTheRemedyOnce() {
            network.failAlways(ErrorKind.UNAVAILABLE);
            assertThat(failureOf(CANCEL))
                    .hasMessageThat()
                    .isEqualTo("unavailable happened; the call had no effect; send it again in a second");
        }
    }

    @Nested
    class ReadOnlyCalls {
        @Test
        void failAsUnavailableEvenIfAnAttemptMayHaveRun() {
            network.failAlways(ErrorKind.UNKNOWN_OUTCOME);
            assertThat(failureOf(READ).kind()).isEqualTo(ErrorKind.UNAVAILABLE);
        }
    }

    /** Guards against calls that are abandoned when the entry host stops, and against refusals that are not true. */
    @Nested
    class CallsOfAHostThatStops {
        private static final Duration TIME_LEFT = Duration.ofSeconds(1);

        private CompletableFuture<JobAnswer> beforeTheStop(JobCall call) {
            CompletableFuture<JobAnswer> answer = gateway.call(call, Deadline.after(CALLER_TIME, clock));
            gateway.answerAllBy(Deadline.after(TIME_LEFT, clock));
            return answer;
        }

        private ErrorKind kindOf(CompletableFuture<JobAnswer> answer) {
            assertThat(answer.isDone()).isTrue();
            return WaxwingheadException.from(assertThrows(CompletionException.class, answer::join))
                    .kind();
        }

        @Test
        void failAsUnavailableIfNoAttemptCanHaveRun() {
            network.failAlways(ErrorKind.UNAVAILABLE);
            CompletableFuture<JobAnswer> answer = beforeTheStop(CANCEL);
            assertThat(answer.isDone()).isFalse();
            clock.advance(TIME_LEFT.toNanos());
            assertThat(kindOf(answer)).isEqualTo(ErrorKind.UNAVAILABLE);
        }

        @Test
        void failAsUnknownIfAnAttemptMayHaveRun() {
            network.fail(ErrorKind.UNKNOWN_OUTCOME);
            network.failAlways(ErrorKind.UNAVAILABLE);
            CompletableFuture<JobAnswer> answer = beforeTheStop(CANCEL);
            clock.advance(TIME_LEFT.toNanos());
            assertThat(kindOf(answer)).isEqualTo(ErrorKind.UNKNOWN_OUTCOME);
        }

        @Test
        void areNotSentWithoutTimeForAnAnswer() {
            gateway.answerAllBy(Deadline.after(JobGateway.ANSWER_TIME.dividedBy(2), clock));
            network.failAlways(ErrorKind.UNKNOWN_OUTCOME);
            CompletableFuture<JobAnswer> answer = gateway.call(CANCEL, Deadline.after(CALLER_TIME, clock));
            assertThat(kindOf(answer)).isEqualTo(ErrorKind.UNAVAILABLE);
        }
    }

    @Nested
    class StatusOfAHostThatJoins {
        private static final HostId MEMBER = HostId.of("10.0.0.2");

        @BeforeEach
        void receiveStatusOfAMember() {
            network.report(new HostStatus(Optional.of(MEMBER), List.of(SEED, MEMBER), true, OptionalLong.empty()));
            awaitAnother(2);
            assertThat(network.connectedPeers()).containsExactly(SEED, MEMBER);
        }

        @Test
        void neitherDisconnectsMembersNorEndsReadiness() {
            network.report(new HostStatus(Optional.of(MEMBER), List.of(), false, OptionalLong.empty()));
            awaitAnother(2);
            assertThat(network.connectedPeers()).containsExactly(SEED, MEMBER);
            assertThat(gateway.ready()).isTrue();
        }

        private void awaitAnother(int statusCalls) {
            int target = network.statusCalls() + statusCalls;
            clock.advance(CALLER_TIME.toNanos());
            assertThat(network.statusCalls()).isAtLeast(target);
        }
    }

    /** Fails calls about jobs with the given kinds, in order, and answers all others with a status. */
    private static final class ScriptedNetwork implements PeerNetwork {
        private final Queue<ErrorKind> failures = new ArrayDeque<>();
        private Optional<ErrorKind> always = Optional.empty();
        private HostStatus status = new HostStatus(Optional.of(SEED), List.of(SEED), true, OptionalLong.of(1));
        private int statusCalls;
        private List<HostId> connectedPeers = List.of();

        synchronized void report(HostStatus next) {
            status = next;
        }

        synchronized int statusCalls() {
            return statusCalls;
        }

        synchronized List<HostId> connectedPeers() {
            return connectedPeers;
        }

        synchronized void fail(ErrorKind kind) {
            failures.add(kind);
        }

        synchronized void failAlways(ErrorKind kind) {
            always = Optional.of(kind);
        }

        @Override
        public synchronized CompletableFuture<byte[]> call(
                HostId to, PeerChannel channel, byte[] request, Deadline deadline) {
            if (channel != PeerChannel.JOBS) {
                statusCalls++;
                return CompletableFuture.completedFuture(status.pack());
            }
            ErrorKind kind = failures.isEmpty() ? always.orElseThrow() : failures.remove();
            return CompletableFuture.failedFuture(
                    WaxwingheadException.of(kind, kind.code() + " happened", "none; the failure is scripted"));
        }

        @Override
        public HostId self() {
            return HostId.of("10.0.0.9");
        }

        @Override
        public void send(HostId to, PeerChannel channel, byte[] message) {}

        @Override
        public void onMessage(PeerChannel channel, MessageHandler handler) {}

        @Override
        public void onCall(PeerChannel channel, CallHandler handler) {}

        @Override
        public synchronized void setPeers(Collection<PeerAddress> peers) {
            connectedPeers = peers.stream().map(PeerAddress::host).toList();
        }

        @Override
        public List<PeerStatus> peers() {
            return List.of(new PeerStatus(SEED, DataCentreId.of("dc-1"), true, 0));
        }

        @Override
        public void close() {}
    }
}
