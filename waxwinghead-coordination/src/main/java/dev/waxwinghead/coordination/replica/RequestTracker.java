package dev.waxwinghead.coordination.replica;

import dev.waxwinghead.coordination.consensus.MembershipOutcome;
import dev.waxwinghead.coordination.consensus.Ready.ConfirmedRead;
import dev.waxwinghead.coordination.consensus.ReplicaCore;
import dev.waxwinghead.coordination.replica.LogClientAnswer.Done;
import dev.waxwinghead.coordination.replica.LogClientAnswer.NotLeader;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;

/** Dispatches, retries and completes open requests. Used on the thread of the {@link ReplicaLoop} only. */
final class RequestTracker {
    private static final byte[] EMPTY_RESULT = {};
    private static final long RETRY_NANOS = Duration.ofMillis(50).toNanos();

    private final ReplicaSettings settings;
    private final ReplicaCore core;
    private final Applier applier;
    private final LogClient logClient;
    private final Ticker ticker;
    private final PriorityQueue<Request> byDeadline =
            new PriorityQueue<>(Comparator.comparingLong(request -> request.deadline.nanos()));
    private final Deque<Request> awaitingRetry = new ArrayDeque<>();
    private final Map<Long, Request> openReads = new HashMap<>();
    private long nextReadId;
    private long retryDeadline;
    private Optional<HostId> lastLeader = Optional.empty();

    RequestTracker(ReplicaSettings settings, ReplicaCore core, Applier applier, LogClient logClient, Ticker ticker) {
        this.settings = settings;
        this.core = core;
        this.applier = applier;
        this.logClient = logClient;
        this.ticker = ticker;
    }

    void submit(Request request) {
        request.waitingSinceNanos = ticker.nanos();
        byDeadline.add(request);
        dispatch(request);
    }

    /** Aborts requests whose deadline has passed and retries waiting requests. */
    void tick(long now) {
        while (!byDeadline.isEmpty()
                && (byDeadline.peek().result.isDone()
                        || byDeadline.peek().deadline.passed(ticker))) {
            byDeadline.poll().abort("the deadline passed");
        }
        boolean leaderChanged = !core.leaderHost().equals(lastLeader);
        if (leaderChanged || now - retryDeadline >= 0) {
            lastLeader = core.leaderHost();
            retryDeadline = now + RETRY_NANOS;
            retryWaiting(now);
        }
    }

    void completeRead(ConfirmedRead read) {
        Request request = openReads.remove(read.id());
        if (request != null) {
            finishRead(request, read.index());
        }
    }

    void retryRead(long id) {
        Request request = openReads.remove(id);
        if (request != null) {
            awaitLeader(request);
        }
    }

    void abortAll(String reason) {
        byDeadline.forEach(request -> request.abort(reason));
        byDeadline.clear();
        awaitingRetry.clear();
        openReads.clear();
    }

    private void retryWaiting(long now) {
        List<Request> toRetry = new ArrayList<>(awaitingRetry);
        awaitingRetry.clear();
        for (Request request : toRetry) {
            boolean withinLeaderWaitTimeout = now - request.waitingSinceNanos
                    < settings.leaderWaitTimeout().toNanos();
            if (withinLeaderWaitTimeout || core.leaderHost().isPresent()) {
                dispatch(request);
            } else {
                request.abort("no leader with a majority is reachable");
            }
        }
    }

    private void dispatch(Request request) {
        if (request.result.isDone()) {
            return;
        }
        if (core.isLeader()) {
            startAtLeader(request);
        } else if (!request.local) {
            request.result.complete(new NotLeader(core.leaderHost()));
        } else if (core.leaderHost().isPresent()) {
            forwardToLeader(request, core.leaderHost().get());
        } else {
            awaitLeader(request);
        }
    }

    private void awaitLeader(Request request) {
        if (request.local) {
            awaitingRetry.add(request);
        } else {
            request.result.complete(new NotLeader(core.leaderHost()));
        }
    }

    private void startAtLeader(Request request) {
        if (request.kind.changesState() && !core.canCommit()) {
            request.abort("a majority of the voters can't write to their disks");
        } else if (request.kind instanceof RequestKind.Proposal proposal) {
            OptionalLong index = core.propose(proposal.command());
            request.mayHaveEffect = true;
            applier.awaitResult(index.orElseThrow(), core.term(), request);
        } else if (request.kind instanceof RequestKind.ReadConfirmation) {
            long id = nextReadId++;
            openReads.put(id, request);
            core.requestRead(id);
        } else if (request.kind instanceof RequestKind.Removal removal) {
            removeMember(request, removal.host());
        }
    }

    private void removeMember(Request request, HostId host) {
        MembershipOutcome outcome = core.remove(host);
        if (outcome == MembershipOutcome.DONE) {
            request.result.complete(new Done(core.commitIndex(), EMPTY_RESULT));
        } else if (outcome == MembershipOutcome.LAST_VOTER) {
            request.fail(
                    ErrorKind.CONFLICT, host + " is the last voter", "let another voter join before removing this one");
        } else {
            request.mayHaveEffect = true;
            request.waitingSinceNanos = ticker.nanos();
            awaitingRetry.add(request);
        }
    }

    private void forwardToLeader(Request request, HostId leader) {
        request.mayHaveEffect = true;
        Deadline deadline = request.kind.changesState()
                ? request.deadline
                : request.deadline.earlier(Deadline.after(settings.consensus().electionTimeoutMax(), ticker));
        logClient.call(
                leader,
                request.kind.toMessage(deadline.remaining(ticker).toMillis()),
                deadline,
                (answer, failure) -> handleAnswer(request, answer, failure));
    }

    private void handleAnswer(Request request, LogClientAnswer answer, WaxwingheadException failure) {
        if (answer instanceof Done done) {
            applier.whenApplied(done.index(), () -> request.result.complete(done));
        } else if (answer instanceof NotLeader) {
            request.mayHaveEffect = false;
            awaitingRetry.add(request);
        } else if (failure != null && failure.kind() == ErrorKind.UNAVAILABLE) {
            request.mayHaveEffect = false;
            awaitingRetry.add(request);
        } else if (failure != null && failure.kind() != ErrorKind.UNKNOWN_OUTCOME) {
            request.result.completeExceptionally(failure);
        } else if (request.kind.changesState()) {
            request.abort("contact with the leader was lost");
        } else {
            awaitingRetry.add(request);
        }
    }

    private void finishRead(Request request, long index) {
        Done done = new Done(index, EMPTY_RESULT);
        if (request.local) {
            applier.whenApplied(index, () -> request.result.complete(done));
        } else {
            request.result.complete(done);
        }
    }
}
