package dev.waxwinghead.daemon.jobs;

import dev.waxwinghead.coordination.log.LogStatus;
import dev.waxwinghead.coordination.peer.PeerAddress;
import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.coordination.peer.PeerNetwork;
import dev.waxwinghead.daemon.callers.ManualClock;
import dev.waxwinghead.daemon.classes.JobClass;
import dev.waxwinghead.daemon.classes.JobClassCodec;
import dev.waxwinghead.daemon.classes.JobClassDocument;
import dev.waxwinghead.daemon.classes.JobClassSection;
import dev.waxwinghead.daemon.state.SectionId;
import dev.waxwinghead.daemon.state.SharedState;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.JobClassName;
import dev.waxwinghead.model.id.JobId;
import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.scheduling.job.JobCommand;
import dev.waxwinghead.scheduling.job.JobTerms;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Hosts with replicas of one log and the network to them, in memory and on a manual clock. The log commits a command at
 * once while it has a leader; a host that does not lead forwards its commands to the leader.
 */
final class MemoryCore implements PeerNetwork {
    static final String CLASS_HOST = "seats.test";
    static final String CLASS_PATH = "/quote/";

    private static final long LATENCY_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private final ManualClock clock;
    private final Map<HostId, Host> hosts = new LinkedHashMap<>();
    private final List<byte[]> log = new ArrayList<>();
    private Optional<HostId> leader = Optional.empty();

    MemoryCore(ManualClock clock, List<HostId> ids) {
        this.clock = clock;
        ids.forEach(id -> hosts.put(id, new Host(id)));
    }

    Host host(HostId id) {
        return hosts.get(id);
    }

    /** Makes a host the leader, which acts as the scheduler from now on. */
    void elect(HostId id) {
        leader = Optional.of(id);
        commit(JobCodec.pack(new JobCommand.Acquire(id)));
        hosts.values().stream().filter(host -> !host.paused).forEach(host -> host.acting = OptionalLong.empty());
        host(id).acting = OptionalLong.of(log.size());
    }

    /** Ends the leadership; nothing is committed until the next election. */
    void loseLeader() {
        leader = Optional.empty();
        hosts.values().stream().filter(host -> !host.paused).forEach(host -> host.acting = OptionalLong.empty());
    }

    /** Returns whether the log holds an accepted job. */
    boolean accepted(String job) {
        return hosts.values().iterator().next().jobs.table().find(JobId.of(job)).isPresent();
    }

    private byte[] commit(byte[] command) {
        log.add(command);
        byte[] result = {};
        for (Host host : hosts.values()) {
            result = host.jobs.apply(log.size(), command);
        }
        return result;
    }

    @Override
    public CompletableFuture<byte[]> call(HostId to, PeerChannel channel, byte[] request, Deadline deadline) {
        Host host = host(to);
        if (!host.connected) {
            return CompletableFuture.failedFuture(
                    WaxwingheadException.of(ErrorKind.UNAVAILABLE, "no connection", "none; the failure is scripted"));
        }
        CompletableFuture<byte[]> answer = new CompletableFuture<>();
        host.unanswered.add(answer);
        after(deadline.remaining(clock).toNanos(), () -> abandon(answer, "its deadline passed"));
        after(LATENCY_NANOS, () -> host.arrive(() -> host.answer(channel, request, answer)));
        return answer;
    }

    private static void abandon(CompletableFuture<byte[]> answer, String reason) {
        answer.completeExceptionally(
                WaxwingheadException.of(ErrorKind.UNKNOWN_OUTCOME, reason, "none; the failure is scripted"));
    }

    private void after(long nanos, Runnable action) {
        var unused = clock.timer().schedule(action, nanos, TimeUnit.NANOSECONDS);
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
    public void setPeers(Collection<PeerAddress> peers) {}

    @Override
    public List<PeerStatus> peers() {
        return hosts.values().stream()
                .map(host -> new PeerStatus(host.id, DataCentreId.of("dc-1"), host.connected, 0))
                .toList();
    }

    @Override
    public void close() {}

    /** A host with a replica. Its fields are the faults that a test sets. */
    final class Host implements SharedState {
        private final HostId id;
        private final JobSection jobs = new JobSection();
        private final JobService service;
        private final List<Runnable> delayed = new ArrayList<>();
        private final List<CompletableFuture<byte[]>> unanswered = new ArrayList<>();
        private final List<byte[]> uncommitted = new ArrayList<>();
        private boolean paused;

        /** The epoch in which the host takes itself for the acting scheduler. */
        OptionalLong acting = OptionalLong.empty();

        /** Whether connections to the host are open. */
        boolean connected = true;

        /** Whether the host loses requests about jobs. */
        boolean losesRequests;

        /** Whether answers to calls about jobs are lost. */
        boolean losesAnswers;

        /** The kind with which proposals fail without an effect. */
        Optional<ErrorKind> refusesProposals = Optional.empty();

        /** Whether the store fails partway: proposals fail with an unknown outcome and may be committed later. */
        boolean storeFails;

        /** The outcome of the next proposal, which the log leaves open. */
        Optional<CompletableFuture<byte[]>> openProposal = Optional.empty();

        /** The number of attempts to have calls about jobs answered, and the number of them under way. */
        int attempts;

        int openAttempts;
        int maxOpenAttempts;

        Host(HostId id) {
            this.id = id;
            JobClassSection classes = JobClassSection.create();
            JobTerms terms = new JobTerms(JobClassName.of("c"), ServiceName.of("s"), 1, 2, 1.5, 3);
            JobClassDocument document = new JobClassDocument(
                    1,
                    Set.of(ServiceName.of("s")),
                    List.of(new JobClass(CLASS_HOST, CLASS_PATH, terms, 1000)),
                    "digest",
                    new byte[] {1});
            byte[] unused = classes.apply(1, JobClassCodec.pack(document));
            this.service = new JobService(
                    this, classes, jobs.table(), () -> acting, () -> leader, clock, System::currentTimeMillis);
        }

        void pause() {
            paused = true;
        }

        /** Continues; requests that arrived in the meantime are handled, late. */
        void resume() {
            paused = false;
            List<Runnable> late = List.copyOf(delayed);
            delayed.clear();
            late.forEach(Runnable::run);
        }

        /** Ends the process: its connections are lost. */
        void stop() {
            disconnect();
            paused = true;
            delayed.clear();
            acting = OptionalLong.empty();
        }

        /** Closes the connections: open calls fail with an unknown outcome. */
        void disconnect() {
            connected = false;
            List<CompletableFuture<byte[]>> open = List.copyOf(unanswered);
            unanswered.clear();
            open.forEach(answer -> abandon(answer, "the connection was lost"));
        }

        /** Commits the proposals whose outcome was left unknown. */
        void commitUnresolved() {
            uncommitted.forEach(MemoryCore.this::commit);
            uncommitted.clear();
        }

        private void arrive(Runnable request) {
            if (paused) {
                delayed.add(request);
            } else {
                request.run();
            }
        }

        private void answer(PeerChannel channel, byte[] request, CompletableFuture<byte[]> answer) {
            if (channel != PeerChannel.JOBS) {
                HostStatus status = new HostStatus(leader, List.copyOf(hosts.keySet()), true, acting);
                after(LATENCY_NANOS, () -> answer.complete(status.pack()));
                return;
            }
            attempts++;
            maxOpenAttempts = Math.max(maxOpenAttempts, ++openAttempts);
            if (losesRequests) {
                return;
            }
            CompletableFuture<Void> unused = service.answer(JobCallCodec.unpackAttempt(request))
                    .thenApply(JobCallCodec::pack)
                    .handle((bytes, failure) -> {
                        after(LATENCY_NANOS, () -> deliver(answer, bytes, failure));
                        return null;
                    });
        }

        private void deliver(CompletableFuture<byte[]> answer, byte[] bytes, Throwable failure) {
            openAttempts--;
            if (losesAnswers) {
                return;
            }
            if (failure == null) {
                answer.complete(bytes);
            } else {
                answer.completeExceptionally(WaxwingheadException.from(failure));
            }
        }

        @Override
        public CompletableFuture<byte[]> propose(SectionId section, byte[] command, Deadline deadline) {
            if (openProposal.isPresent()) {
                CompletableFuture<byte[]> open = openProposal.get();
                openProposal = Optional.empty();
                return open;
            }
            if (storeFails) {
                uncommitted.add(command);
                return CompletableFuture.failedFuture(WaxwingheadException.of(
                        ErrorKind.UNKNOWN_OUTCOME, "the store failed", "none; the failure is scripted"));
            }
            Optional<ErrorKind> refusal = leader.isEmpty() ? Optional.of(ErrorKind.NO_MAJORITY) : refusesProposals;
            if (refusal.isPresent()) {
                return CompletableFuture.failedFuture(
                        WaxwingheadException.of(refusal.get(), "refused", "none; the failure is scripted"));
            }
            return CompletableFuture.completedFuture(commit(command));
        }

        @Override
        public CompletableFuture<Long> readBarrier(Deadline deadline) {
            return CompletableFuture.completedFuture((long) log.size());
        }

        @Override
        public LogStatus status() {
            throw new UnsupportedOperationException("not used by the service");
        }
    }
}
