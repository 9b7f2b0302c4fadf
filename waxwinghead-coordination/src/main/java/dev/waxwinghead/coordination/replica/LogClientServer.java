package dev.waxwinghead.coordination.replica;

import dev.waxwinghead.coordination.consensus.MalformedMessageException;
import dev.waxwinghead.coordination.consensus.MembershipOutcome;
import dev.waxwinghead.coordination.consensus.ReplicaCore;
import dev.waxwinghead.coordination.peer.PeerNetwork;
import dev.waxwinghead.coordination.replica.LogClientAnswer.GroupAnswer;
import dev.waxwinghead.coordination.replica.LogClientAnswer.Joined;
import dev.waxwinghead.coordination.replica.LogClientAnswer.NotLeader;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.ReplicaId;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

/** Handles the requests of other replicas. */
final class LogClientServer implements PeerNetwork.CallHandler {
    private static final long MAX_REMAINING_MILLIS = Duration.ofHours(1).toMillis();

    private final ReplicaSettings settings;
    private final ReplicaId self;
    private final ReplicaCore core;
    private final RequestTracker requestTracker;
    private final ReplicaCounters counters;
    private final Executor loop;
    private final Ticker ticker;

    LogClientServer(
            ReplicaSettings settings,
            ReplicaId self,
            ReplicaCore core,
            RequestTracker requestTracker,
            ReplicaCounters counters,
            Executor loop,
            Ticker ticker) {
        this.settings = settings;
        this.self = self;
        this.core = core;
        this.requestTracker = requestTracker;
        this.counters = counters;
        this.loop = loop;
        this.ticker = ticker;
    }

    @Override
    public CompletableFuture<byte[]> answer(HostId from, byte[] bytes) {
        LogClientMessage message;
        try {
            message = LogClientMessage.Codec.decode(bytes);
        } catch (MalformedMessageException e) {
            counters.malformedMessages.increment();
            return CompletableFuture.failedFuture(WaxwingheadException.of(
                    ErrorKind.INVALID_INPUT,
                    "a request from " + from + " is malformed",
                    "run the same version on all entry hosts",
                    e));
        }
        CompletableFuture<LogClientAnswer> answer = new CompletableFuture<>();
        loop.execute(() -> handle(message, answer));
        return answer.thenApply(LogClientAnswer.Codec::encode);
    }

    private void handle(LogClientMessage message, CompletableFuture<LogClientAnswer> answer) {
        if (message instanceof LogClientMessage.Propose propose) {
            submit(new RequestKind.Proposal(propose.command()), propose.remainingMillis(), answer);
        } else if (message instanceof LogClientMessage.Read read) {
            submit(new RequestKind.ReadConfirmation(), read.remainingMillis(), answer);
        } else if (message instanceof LogClientMessage.Remove remove) {
            submit(new RequestKind.Removal(remove.host()), remove.remainingMillis(), answer);
        } else if (message instanceof LogClientMessage.Join join) {
            answer.complete(join(join));
        } else {
            answer.complete(new GroupAnswer(core.hasGroup(), self, settings.address()));
        }
    }

    private void submit(RequestKind kind, long remainingMillis, CompletableFuture<LogClientAnswer> answer) {
        Duration remaining = Duration.ofMillis(Math.min(remainingMillis, MAX_REMAINING_MILLIS));
        Request request = new Request(kind, Deadline.after(remaining, ticker), false);
        CompletableFuture<LogClientAnswer> unused = request.result.whenComplete((result, failure) -> {
            if (failure == null) {
                answer.complete(result);
            } else {
                answer.completeExceptionally(failure);
            }
        });
        requestTracker.submit(request);
    }

    private LogClientAnswer join(LogClientMessage.Join join) {
        MembershipOutcome outcome = core.join(join.member());
        return outcome == MembershipOutcome.NOT_LEADER ? new NotLeader(core.leaderHost()) : new Joined(outcome);
    }
}
