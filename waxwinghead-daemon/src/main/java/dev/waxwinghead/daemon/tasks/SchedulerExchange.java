package dev.waxwinghead.daemon.tasks;

import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.coordination.peer.PeerNetwork;
import dev.waxwinghead.daemon.codec.MessagePackCodec;
import dev.waxwinghead.daemon.part.DaemonContext;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.scheduling.task.SchedulerTerm;
import dev.waxwinghead.scheduling.task.TaskTable;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Exchanges capacity reports and worker lists with the schedulers of the other data centres. */
final class SchedulerExchange {
    private static final long MAX_REPORT_AGE_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final Duration LIST_TIMEOUT = Duration.ofSeconds(2);

    private final DaemonContext context;
    private final TaskTable table;
    private final ActingScheduler acting;
    private final Map<DataCentreId, ReceivedReport> reports = new ConcurrentHashMap<>();

    SchedulerExchange(DaemonContext context, TaskTable table, ActingScheduler acting) {
        this.context = context;
        this.table = table;
        this.acting = acting;
        context.peers().onMessage(PeerChannel.SCHEDULERS, (from, message) -> receive(message));
        context.peers()
                .onCall(
                        PeerChannel.SCHEDULERS,
                        (from, request) -> CompletableFuture.completedFuture(MessagePackCodec.pack(
                                packer -> MessagePackCodec.list(packer, localWorkers(), WorkerRow::write))));
    }

    /** Sends a capacity report of this data centre to all peers, if this host is the acting scheduler. */
    void broadcastReport() {
        acting.workers().ifPresent(workers -> {
            CapacityReport report = CapacityReport.of(context.dataCentre(), acting.term(), workers);
            byte[] message = MessagePackCodec.pack(packer -> CapacityReport.write(packer, report));
            store(report);
            for (PeerNetwork.PeerStatus peer : context.peers().peers()) {
                context.peers().send(peer.host(), PeerChannel.SCHEDULERS, message);
            }
        });
    }

    /**
     * Returns the latest report from the newest scheduler term of each data centre, unless older than
     * {@link #MAX_REPORT_AGE_NANOS}.
     */
    Collection<CapacityReport> reports() {
        long now = context.ticker().nanos();
        List<CapacityReport> recent = new ArrayList<>();
        reports.forEach((dataCentre, received) -> {
            if (now - received.receivedNanos() < MAX_REPORT_AGE_NANOS) {
                recent.add(received.report());
            }
        });
        return recent;
    }

    /** Returns the workers of all data centres whose schedulers answer, in the order of their ids. */
    CompletableFuture<List<WorkerRow>> workers() {
        List<CompletableFuture<List<WorkerRow>>> lists = new ArrayList<>();
        for (SchedulerTerm term : table.schedulers()) {
            if (term.host() != null) {
                lists.add(workersOf(term.host()));
            }
        }
        return CompletableFuture.allOf(lists.toArray(CompletableFuture[]::new))
                .thenApply(done -> lists.stream()
                        .flatMap(list -> list.join().stream())
                        .sorted(java.util.Comparator.comparing(WorkerRow::worker))
                        .toList());
    }

    private CompletableFuture<List<WorkerRow>> workersOf(HostId host) {
        if (host.equals(context.self())) {
            return CompletableFuture.completedFuture(localWorkers());
        }
        Deadline deadline = Deadline.after(LIST_TIMEOUT, context.ticker());
        return context.peers()
                .call(host, PeerChannel.SCHEDULERS, new byte[0], deadline)
                .thenApply(answer ->
                        MessagePackCodec.unpack(answer, unpacker -> MessagePackCodec.list(unpacker, WorkerRow::read)))
                .exceptionally(failure -> List.of());
    }

    private List<WorkerRow> localWorkers() {
        long now = context.ticker().nanos();
        return acting.workers().orElse(List.of()).stream()
                .map(worker -> WorkerRow.of(worker, now))
                .toList();
    }

    private void receive(byte[] message) {
        store(MessagePackCodec.unpack(message, CapacityReport::read));
    }

    private void store(CapacityReport report) {
        ReceivedReport received = new ReceivedReport(report, context.ticker().nanos());
        reports.merge(
                report.dataCentre(),
                received,
                (before, next) -> next.report().term() >= before.report().term() ? next : before);
    }

    private record ReceivedReport(CapacityReport report, long receivedNanos) {}
}
