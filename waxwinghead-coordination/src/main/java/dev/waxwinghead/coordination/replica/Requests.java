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

/** Leads open requests to their outcome. Runs on the thread of the loop only. */
final class Requests {
    private static final byte[] NOTHING = {};
    private static final long RETRY_NANOS = Duration.ofMillis(50).toNanos();

    private final ReplicaSettings settings;
    private final ReplicaCore core;
    private final Applier applier;
    private final LeaderLink link;
    private final Ticker ticker;
    private final PriorityQueue<Request> byDeadline =
            new PriorityQueue<>(Comparator.comparingLong(request -> request.deadline.nanos()));
    private final Deque<Request> waiting = new ArrayDeque<>();
    private final Map<Long, Request> reads = new HashMap<>();
    private long nextReadId;
    private long retryDeadline;
    private Optional<HostId> lastLeader = Optional.empty();

    Requests(ReplicaSettings settings, ReplicaCore core, Applier applier, LeaderLink link, Ticker ticker) {
        this.settings = settings;
        this.core = core;
        this.applier = applier;
        this.link = link;
        this.ticker = ticker;
    }

    void submit(Request request) {
        request.waitingSince = ticker.nanos();
        byDeadline.add(request);
        dispatch(request);
    }

    /** Expires what is overdue and tries again what waits for a leader. */
    void tick(long now) {
        while (!byDeadline.isEmpty()
                && (byDeadline.peek().result.isDone()
                        || byDeadline.peek().deadline.passed(ticker))) {
            byDeadline.poll().giveUp("the deadline passed");
        }
        boolean leaderChanged = !core.leader().equals(lastLeader);
        if (leaderChanged || now - retryDeadline >= 0) {
            lastLeader = core.leader();
            retryDeadline = now + RETRY_NANOS;
            retryWaiting(now);
        }
    }

    void confirmed(ConfirmedRead read) {
        Request request = reads.remove(read.id());
        if (request != null) {
            finishRead(request, read.index());
        }
    }

    void readFailed(long id) {
        Request request = reads.remove(id);
        if (request != null) {
            await(request);
        }
    }

    void failAll(String reason) {
        byDeadline.forEach(request -> request.giveUp(reason));
        byDeadline.clear();
        waiting.clear();
        reads.clear();
    }

    private void retryWaiting(long now) {
        List<Request> tried = new ArrayList<>(waiting);
        waiting.clear();
        for (Request request : tried) {
            boolean patient =
                    now - request.waitingSince < settings.leaderPatience().toNanos();
            if (patient || core.leader().isPresent()) {
                dispatch(request);
            } else {
                request.giveUp("no leader with a majority is in reach");
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
            request.result.complete(new NotLeader(core.leader()));
        } else if (core.leader().isPresent()) {
            passOn(request, core.leader().get());
        } else {
            await(request);
        }
    }

    private void await(Request request) {
        if (request.local) {
            waiting.add(request);
        } else {
            request.result.complete(new NotLeader(core.leader()));
        }
    }

    private void startAtLeader(Request request) {
        if (request.kind instanceof RequestKind.Proposal proposal) {
            OptionalLong index = core.propose(proposal.command());
            request.mayHaveEffect = true;
            applier.awaitResult(index.orElseThrow(), core.term(), request);
        } else if (request.kind instanceof RequestKind.ReadConfirmation) {
            long id = nextReadId++;
            reads.put(id, request);
            core.requestRead(id);
        } else if (request.kind instanceof RequestKind.Removal removal) {
            remove(request, removal.host());
        }
    }

    private void remove(Request request, HostId host) {
        MembershipOutcome outcome = core.remove(host);
        if (outcome == MembershipOutcome.DONE) {
            request.result.complete(new Done(core.commitIndex(), NOTHING));
        } else if (outcome == MembershipOutcome.LAST_VOTER) {
            request.fail(
                    ErrorKind.CONFLICT, host + " is the last voter", "let another voter join before removing this one");
        } else {
            request.mayHaveEffect = true;
            request.waitingSince = ticker.nanos();
            waiting.add(request);
        }
    }

    private void passOn(Request request, HostId leader) {
        request.mayHaveEffect = true;
        Deadline deadline = request.kind.changesState()
                ? request.deadline
                : request.deadline.earlier(Deadline.after(settings.consensus().electionTimeoutMax(), ticker));
        link.call(
                leader,
                request.kind.message(deadline.remaining(ticker).toMillis()),
                deadline,
                (answer, failure) -> answered(request, answer, failure));
    }

    private void answered(Request request, LogClientAnswer answer, WaxwingheadException failure) {
        if (answer instanceof Done done) {
            applier.whenApplied(done.index(), () -> request.result.complete(done));
        } else if (answer instanceof NotLeader) {
            request.mayHaveEffect = false;
            waiting.add(request);
        } else if (failure != null && failure.kind() == ErrorKind.UNAVAILABLE) {
            request.mayHaveEffect = false;
            waiting.add(request);
        } else if (failure != null && failure.kind() != ErrorKind.UNKNOWN_OUTCOME) {
            request.result.completeExceptionally(failure);
        } else if (request.kind.changesState()) {
            request.giveUp("the leader was lost");
        } else {
            waiting.add(request);
        }
    }

    private void finishRead(Request request, long index) {
        Done done = new Done(index, NOTHING);
        if (request.local) {
            applier.whenApplied(index, () -> request.result.complete(done));
        } else {
            request.result.complete(done);
        }
    }
}
