package dev.waxwinghead.daemon.tasks;

import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.coordination.peer.PeerNetwork;
import dev.waxwinghead.daemon.codec.Packing;
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

/** Exchanges capacity reports and lists of workers with the schedulers of the other data centres. */
final class SchedulerExchange {
    private static final long REPORT_LIFE_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final Duration LIST_PATIENCE = Duration.ofSeconds(2);

    private final DaemonContext context;
    private final TaskTable table;
    private final ActingScheduler acting;
    private final Map<DataCentreId, Received> reports = new ConcurrentHashMap<>();

    SchedulerExchange(DaemonContext context, TaskTable table, ActingScheduler acting) {
        this.context = context;
        this.table = table;
        this.acting = acting;
        context.peers().onMessage(PeerChannel.SCHEDULERS, (from, message) -> receive(message));
        context.peers()
                .onCall(
                        PeerChannel.SCHEDULERS,
                        (from, request) -> CompletableFuture.completedFuture(
                                Packing.pack(packer -> Packing.list(packer, ownWorkers(), WorkerRow::write))));
    }

    /** Sends this data centre's report to all peers, if this host is its scheduler. */
    void report() {
        acting.workers().ifPresent(workers -> {
            CapacityReport report = CapacityReport.of(context.dataCentre(), acting.term(), workers);
            byte[] message = Packing.pack(packer -> CapacityReport.write(packer, report));
            keep(report);
            for (PeerNetwork.PeerStatus peer : context.peers().peers()) {
                context.peers().send(peer.host(), PeerChannel.SCHEDULERS, message);
            }
        });
    }

    /** Returns the reports that are recent and of the scheduler in force. */
    Collection<CapacityReport> reports() {
        long now = context.ticker().nanos();
        List<CapacityReport> recent = new ArrayList<>();
        reports.forEach((dataCentre, received) -> {
            if (now - received.atNanos() < REPORT_LIFE_NANOS) {
                recent.add(received.report());
            }
        });
        return recent;
    }

    /** Returns the workers of all data centres whose schedulers answer. */
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
            return CompletableFuture.completedFuture(ownWorkers());
        }
        Deadline deadline = Deadline.after(LIST_PATIENCE, context.ticker());
        return context.peers()
                .call(host, PeerChannel.SCHEDULERS, new byte[0], deadline)
                .thenApply(answer -> Packing.unpack(answer, unpacker -> Packing.list(unpacker, WorkerRow::read)))
                .exceptionally(failure -> List.of());
    }

    private List<WorkerRow> ownWorkers() {
        long now = context.ticker().nanos();
        return acting.workers().orElse(List.of()).stream()
                .map(worker -> WorkerRow.of(worker, now))
                .toList();
    }

    private void receive(byte[] message) {
        keep(Packing.unpack(message, CapacityReport::read));
    }

    private void keep(CapacityReport report) {
        Received received = new Received(report, context.ticker().nanos());
        reports.merge(
                report.dataCentre(),
                received,
                (before, next) -> next.report().term() >= before.report().term() ? next : before);
    }

    private record Received(CapacityReport report, long atNanos) {}
}
