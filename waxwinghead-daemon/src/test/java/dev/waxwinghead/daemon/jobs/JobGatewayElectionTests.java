package dev.waxwinghead.daemon.jobs;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.waxwinghead.daemon.callers.ManualClock;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.lifecycle.Closer;
import dev.waxwinghead.model.resource.Resources;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.scheduling.job.JobSchedule;
import dev.waxwinghead.scheduling.job.JobState;
import dev.waxwinghead.scheduling.job.JobStep;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the answers of an entry host over changes of the acting scheduler, with the service of three hosts. */
class JobGatewayElectionTests {
    private static final HostId FIRST = HostId.of("10.0.0.1");
    private static final HostId SECOND = HostId.of("10.0.0.2");
    private static final HostId THIRD = HostId.of("10.0.0.3");
    private static final Duration CALLER_TIME = Duration.ofMillis(2850);

    private final Closer closer = Closer.create();
    private final ManualClock clock = new ManualClock();
    private final MemoryCore core = new MemoryCore(clock, List.of(FIRST, SECOND, THIRD));
    private final SimpleMeterRegistry meters = new SimpleMeterRegistry();
    private JobGateway gateway;

    @BeforeEach
    void startWithALeader() {
        core.elect(FIRST);
        gateway = JobGateway.start(JobGatewayTests.settings(), clock, core, clock.timer(), meters, closer);
        advance(1000);
    }

    @AfterEach
    void close() {
        gateway.close();
    }

    private void advance(long millis) {
        clock.advance(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    private static JobCall submission(String job) {
        JobStep step = new JobStep(
                1,
                Resources.of(1, 1, 0),
                1000,
                List.of(),
                false,
                false,
                false,
                "",
                "",
                0,
                false,
                false,
                "",
                0,
                false,
                0);
        return new JobCall.Submit(target(job), "x", List.of(step), JobSchedule.ONCE);
    }

    private static JobTarget target(String job) {
        return new JobTarget(MemoryCore.CLASS_HOST, MemoryCore.CLASS_PATH + job);
    }

    private CompletableFuture<JobAnswer> call(JobCall call) {
        return gateway.call(call, Deadline.after(CALLER_TIME, clock));
    }

    private CompletableFuture<JobAnswer> submit(String job) {
        return call(submission(job));
    }

    private static void assertAccepted(CompletableFuture<JobAnswer> answer) {
        assertThat(answer.isDone()).isTrue();
        assertThat(answer.join()).isEqualTo(new JobAnswer.Accepted());
    }

    private static WaxwingheadException failureOf(CompletableFuture<JobAnswer> answer) {
        assertThat(answer.isDone()).isTrue();
        return WaxwingheadException.from(assertThrows(CompletionException.class, answer::join));
    }

    private static void assertFailed(CompletableFuture<JobAnswer> answer, ErrorKind kind) {
        assertThat(failureOf(answer).kind()).isEqualTo(kind);
    }

    private double count(String counter, String... tags) {
        return meters.counter(counter, tags).count();
    }

    @Nested
    class LeaderLostBeforeTheSend {
        /** Guards against a refusal during an election that ends within the caller's time. */
        @Test
        void isAnsweredByTheNextLeader() {
            core.host(FIRST).stop();
            core.loseLeader();
            CompletableFuture<JobAnswer> answer = submit("a1");
            advance(1500);
            assertThat(answer.isDone()).isFalse();
            core.elect(SECOND);
            advance(200);
            assertAccepted(answer);
            assertThat(core.accepted("a1")).isTrue();
        }

        /** Guards against reads and cancellations that fail during an election. */
        @Test
        void readsAndCancellationsAreAnsweredByTheNextLeader() {
            CompletableFuture<JobAnswer> submitted = submit("a1");
            advance(10);
            assertAccepted(submitted);
            core.host(FIRST).stop();
            core.loseLeader();
            CompletableFuture<JobAnswer> read = call(new JobCall.Read(target("a1")));
            CompletableFuture<JobAnswer> cancel = call(new JobCall.Cancel(target("a1")));
            advance(1000);
            core.elect(THIRD);
            advance(200);
            assertThat(read.join()).isInstanceOf(JobAnswer.Known.class);
            assertThat(cancel.join()).isEqualTo(new JobAnswer.Known(JobState.CANCELED));
        }
    }

    @Nested
    class LeaderLostAfterTheSend {
        /** Guards against the answer "unknown" although the next leader can run the job. */
        @Test
        void isAnsweredByTheNextLeader() {
            core.host(FIRST).losesRequests = true;
            CompletableFuture<JobAnswer> answer = submit("a1");
            advance(10);
            core.host(FIRST).stop();
            core.loseLeader();
            advance(1000);
            core.elect(SECOND);
            advance(200);
            assertAccepted(answer);
            assertThat(count("waxwinghead.job.gateway.resolved")).isEqualTo(1.0);
        }

        /** Guards against an attempt that waits for a silent leader although the next one acts already. */
        @Test
        void doesNotWaitForASilentLeader() {
            core.host(FIRST).pause();
            CompletableFuture<JobAnswer> answer = submit("a1");
            advance(600);
            core.elect(SECOND);
            advance(250);
            assertAccepted(answer);
        }
    }

    @Nested
    class LeaderLostAfterTheCommit {
        /** Guards against the answer "unknown" for a job that is accepted, and against a second job. */
        @Test
        void isAnsweredWithTheAcceptance() {
            core.host(FIRST).losesAnswers = true;
            CompletableFuture<JobAnswer> answer = submit("a1");
            advance(10);
            assertThat(core.accepted("a1")).isTrue();
            core.host(FIRST).stop();
            core.loseLeader();
            advance(1000);
            core.elect(SECOND);
            advance(200);
            assertAccepted(answer);
            assertThat(count("waxwinghead.job.gateway.resolved")).isEqualTo(1.0);
        }
    }

    @Nested
    class ElectionLongerThanTheCallersTime {
        @BeforeEach
        void loseTheLeader() {
            core.loseLeader();
            advance(1000);
        }

        /** Guards against the answer "unknown" for a call that was never sent, and against a wait past its time. */
        @Test
        void refusesACallThatWasNotSent() {
            CompletableFuture<JobAnswer> answer = submit("a1");
            advance(CALLER_TIME.toMillis() - JobGateway.ANSWER_TIME.toMillis() - 10);
            assertThat(answer.isDone()).isFalse();
            advance(40);
            assertFailed(answer, ErrorKind.UNAVAILABLE);
            assertThat(count("waxwinghead.job.gateway.refused", "reason", "time-over"))
                    .isEqualTo(1.0);
            core.elect(SECOND);
            advance(5000);
            assertThat(core.accepted("a1")).isFalse();
        }

        /** Guards against a refusal that claims "not run" for a job that is accepted. */
        @Test
        void leavesTheOutcomeOfASentCallUnknown() {
            core.elect(FIRST);
            advance(1000);
            core.host(FIRST).losesAnswers = true;
            CompletableFuture<JobAnswer> answer = submit("a1");
            advance(10);
            core.host(FIRST).stop();
            core.loseLeader();
            advance(CALLER_TIME.toMillis());
            assertFailed(answer, ErrorKind.UNKNOWN_OUTCOME);
            assertThat(core.accepted("a1")).isTrue();
            assertThat(count("waxwinghead.job.gateway.unknown")).isEqualTo(1.0);
        }

        /** Guards against calls that stay in memory after they were answered. */
        @Test
        void leavesNoCallBehind() {
            for (int i = 0; i < 50; i++) {
                CompletableFuture<JobAnswer> unused = submit("a" + i);
            }
            advance(CALLER_TIME.toMillis());
            assertThat(gateway.openCalls()).isEqualTo(0);
            assertThat(gateway.waitingCalls()).isEqualTo(0);
        }
    }

    @Nested
    class AllHostsGone {
        /** Guards against calls that wait for hosts that can't be reached. */
        @Test
        void refusesAtOnce() {
            List.of(FIRST, SECOND, THIRD).forEach(id -> core.host(id).stop());
            core.loseLeader();
            advance(2000);
            CompletableFuture<JobAnswer> answer = submit("a1");
            advance(20);
            assertFailed(answer, ErrorKind.UNAVAILABLE);
            assertThat(count("waxwinghead.job.gateway.refused", "reason", "no-host"))
                    .isEqualTo(1.0);
        }

        /** Guards against a claim of "not run" for a call that was sent before. */
        @Test
        void leavesTheOutcomeOfASentCallUnknown() {
            core.host(FIRST).losesAnswers = true;
            CompletableFuture<JobAnswer> answer = submit("a1");
            advance(10);
            List.of(FIRST, SECOND, THIRD).forEach(id -> core.host(id).stop());
            core.loseLeader();
            advance(CALLER_TIME.toMillis());
            assertFailed(answer, ErrorKind.UNKNOWN_OUTCOME);
        }
    }

    @Nested
    class RefusalsAfterAnUnknownAttempt {
        /** Guards against the answer "unknown" where the next leader shows that the call has not run. */
        @Test
        void ofALaterLeaderAreDefinite() {
            core.host(FIRST).losesRequests = true;
            CompletableFuture<JobAnswer> answer = submit("a1");
            advance(10);
            core.host(FIRST).stop();
            core.host(SECOND).refusesProposals = Optional.of(ErrorKind.LIMITED);
            core.elect(SECOND);
            advance(200);
            assertFailed(answer, ErrorKind.LIMITED);
        }

        /** Guards against a job that runs after its refusal because a paused host handles an attempt late. */
        @Test
        void holdWhenAPausedHostHandlesTheAttemptLate() {
            core.host(FIRST).pause();
            CompletableFuture<JobAnswer> answer = submit("a1");
            advance(600);
            core.host(SECOND).refusesProposals = Optional.of(ErrorKind.LIMITED);
            core.elect(SECOND);
            advance(400);
            assertFailed(answer, ErrorKind.LIMITED);
            core.host(SECOND).refusesProposals = Optional.empty();
            // The paused host still takes itself for the scheduler and forwards its proposal to the new leader.
            core.host(FIRST).resume();
            advance(1000);
            assertThat(core.host(FIRST).attempts).isAtLeast(1);
            assertThat(core.accepted("a1")).isFalse();
        }

        /** Guards against a job that runs after its refusal because its first host leads again. */
        @Test
        void holdWhenTheFirstHostLeadsAgainBeforeItHandlesTheAttempt() {
            core.host(FIRST).pause();
            CompletableFuture<JobAnswer> answer = submit("a1");
            advance(600);
            core.host(SECOND).refusesProposals = Optional.of(ErrorKind.LIMITED);
            core.elect(SECOND);
            advance(400);
            assertFailed(answer, ErrorKind.LIMITED);
            core.elect(FIRST);
            core.host(FIRST).resume();
            advance(1000);
            assertThat(core.host(FIRST).attempts).isAtLeast(1);
            assertThat(core.accepted("a1")).isFalse();
        }

        /** Guards against a claim of "not run" while a proposal of the same leader may still be committed. */
        @Test
        void ofALeaderWhoseStoreFailedAreNotDefinite() {
            core.host(FIRST).storeFails = true;
            CompletableFuture<JobAnswer> answer = submit("a1");
            advance(10);
            core.host(FIRST).storeFails = false;
            core.host(FIRST).refusesProposals = Optional.of(ErrorKind.LIMITED);
            advance(CALLER_TIME.toMillis());
            assertFailed(answer, ErrorKind.UNKNOWN_OUTCOME);
            core.host(FIRST).commitUnresolved();
            assertThat(core.accepted("a1")).isTrue();
        }

        /** Guards against an unknown outcome that is forgotten when a proposal of an earlier epoch fails late. */
        @Test
        void ofALeaderWhoseStoreFailedAreNotDefiniteAfterAFailureOfAnEarlierEpoch() {
            CompletableFuture<byte[]> proposal = new CompletableFuture<>();
            core.host(FIRST).openProposal = Optional.of(proposal);
            CompletableFuture<JobAnswer> unused = submit("a0");
            advance(10);
            core.elect(SECOND);
            core.elect(FIRST);
            advance(1000);
            core.host(FIRST).storeFails = true;
            CompletableFuture<JobAnswer> answer = submit("a1");
            advance(10);
            proposal.completeExceptionally(WaxwingheadException.of(ErrorKind.UNKNOWN_OUTCOME, "too late", "none"));
            core.host(FIRST).storeFails = false;
            core.host(FIRST).refusesProposals = Optional.of(ErrorKind.LIMITED);
            advance(CALLER_TIME.toMillis());
            assertFailed(answer, ErrorKind.UNKNOWN_OUTCOME);
        }

        /** Guards against the answer "unknown" after a failure of the store that has passed. */
        @Test
        void areNotNeededOnceTheStoreWorksAgain() {
            core.host(FIRST).storeFails = true;
            CompletableFuture<JobAnswer> answer = submit("a1");
            advance(10);
            core.host(FIRST).storeFails = false;
            advance(300);
            assertAccepted(answer);
        }

        /** Guards against the answer "unknown" for a call that a later leader with full disks shows not to have run. */
        @Test
        void ofALaterLeaderThatCannotCommitAreDefinite() {
            core.host(FIRST).losesRequests = true;
            CompletableFuture<JobAnswer> answer = submit("a1");
            advance(10);
            core.host(FIRST).stop();
            core.host(SECOND).refusesProposals = Optional.of(ErrorKind.NO_MAJORITY);
            core.elect(SECOND);
            advance(1000);
            assertFailed(answer, ErrorKind.UNAVAILABLE);
            assertThat(core.accepted("a1")).isFalse();
        }
    }

    @Nested
    class DisksThatRefuseWrites {
        /** Guards against a refusal where the disks accept writes again after a moment. */
        @Test
        void delayAnAcceptance() {
            core.host(FIRST).refusesProposals = Optional.of(ErrorKind.NO_MAJORITY);
            CompletableFuture<JobAnswer> answer = submit("a1");
            advance(300);
            core.host(FIRST).refusesProposals = Optional.empty();
            advance(150);
            assertAccepted(answer);
        }

        /** Guards against calls that are held until their deadlines although they can't be served. */
        @Test
        void leadToARefusalWithinASecond() {
            core.host(FIRST).refusesProposals = Optional.of(ErrorKind.NO_MAJORITY);
            CompletableFuture<JobAnswer> answer = submit("a1");
            advance(1000);
            assertFailed(answer, ErrorKind.UNAVAILABLE);
            assertThat(count("waxwinghead.job.gateway.refused", "reason", "cannot-commit"))
                    .isEqualTo(1.0);
        }
    }

    @Nested
    class DisksThatRefuseWritesAfterAnUnknownCommit {
        /** Guards against calls that are held because the outcome of another call's commit is unknown. */
        @Test
        void leadToARefusalWithinASecond() {
            core.host(FIRST).storeFails = true;
            CompletableFuture<JobAnswer> unresolved = submit("a1");
            advance(10);
            core.host(FIRST).storeFails = false;
            core.host(FIRST).refusesProposals = Optional.of(ErrorKind.NO_MAJORITY);
            CompletableFuture<JobAnswer> answer = submit("a2");
            advance(1000);
            assertFailed(answer, ErrorKind.UNAVAILABLE);
            assertThat(unresolved.isDone()).isFalse();
            advance(CALLER_TIME.toMillis());
            assertFailed(unresolved, ErrorKind.UNKNOWN_OUTCOME);
        }
    }

    @Nested
    class BurstDuringAnElection {
        private static final int CALLS = 1000;

        private List<CompletableFuture<JobAnswer>> submitAll(int calls) {
            List<CompletableFuture<JobAnswer>> answers = new ArrayList<>();
            for (int i = 0; i < calls; i++) {
                answers.add(submit("a" + i));
                advance(1);
            }
            return answers;
        }

        /** Guards against a new leader that is flooded by the calls that waited for it. */
        @Test
        void isAnsweredInTurnWithFewAttemptsAtATime() {
            core.host(FIRST).stop();
            core.loseLeader();
            advance(1000);
            List<CompletableFuture<JobAnswer>> answers = submitAll(CALLS);
            core.elect(SECOND);
            advance(1500);
            answers.forEach(JobGatewayElectionTests::assertAccepted);
            assertThat(core.host(SECOND).maxOpenAttempts).isAtMost(JobGateway.MAX_PACED_ATTEMPTS);
            assertThat(core.host(SECOND).attempts).isEqualTo(CALLS);
        }

        /** Guards against an entry host that runs out of memory, and against a late refusal beyond the limit. */
        @Test
        void beyondTheLimitIsRefusedAtOnce() {
            core.host(FIRST).stop();
            core.loseLeader();
            advance(1000);
            List<CompletableFuture<JobAnswer>> answers = submitAll(JobGateway.MAX_OPEN_CALLS);
            CompletableFuture<JobAnswer> beyond = submit("beyond");
            assertFailed(beyond, ErrorKind.UNAVAILABLE);
            assertThat(gateway.waitingCalls()).isEqualTo(JobGateway.MAX_OPEN_CALLS);
            assertThat(count("waxwinghead.job.gateway.refused", "reason", "too-many-calls"))
                    .isEqualTo(1.0);
            core.elect(SECOND);
            advance(1500);
            answers.forEach(JobGatewayElectionTests::assertAccepted);
            assertThat(core.accepted("beyond")).isFalse();
        }

        /** Guards against a heap that is filled by few large submissions. */
        @Test
        void beyondTheLimitOfBytesIsRefusedAtOnce() {
            core.loseLeader();
            advance(1000);
            String payload = "x".repeat(1024 * 1024);
            int refused = 0;
            for (int i = 0; i < 20; i++) {
                JobCall.Submit small = (JobCall.Submit) submission("b" + i);
                JobCall large = new JobCall.Submit(small.target(), payload, small.steps(), small.schedule());
                refused += call(large).isCompletedExceptionally() ? 1 : 0;
            }
            assertThat(refused).isEqualTo(13);
        }
    }
}
