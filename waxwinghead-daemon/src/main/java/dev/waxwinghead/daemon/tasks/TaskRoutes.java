package dev.waxwinghead.daemon.tasks;

import com.sun.net.httpserver.HttpExchange;
import dev.waxwinghead.daemon.configuration.Configuration;
import dev.waxwinghead.daemon.http.HttpListener;
import dev.waxwinghead.daemon.http.JsonExchange;
import dev.waxwinghead.daemon.part.DaemonContext;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.ChangeId;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.JobName;
import dev.waxwinghead.model.manifest.JobManifest;
import dev.waxwinghead.model.manifest.ManifestKey;
import dev.waxwinghead.model.manifest.ManifestKind;
import dev.waxwinghead.scheduling.task.CommandResult;
import dev.waxwinghead.scheduling.task.OwnerRecord;
import dev.waxwinghead.scheduling.task.TaskCommand;
import dev.waxwinghead.scheduling.task.TaskRecord;
import dev.waxwinghead.scheduling.task.TaskTable;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Serves the operators' HTTP requests for tasks, jobs and workers. */
final class TaskRoutes {
    private static final String TASKS = "/v1/tasks";
    private static final String JOBS = "/v1/jobs/";
    private static final String WORKERS = "/v1/workers";
    private static final String DATA_CENTRES = "/v1/data-centres";
    private static final String DATA_CENTRE_PREFIX = DATA_CENTRES + "/";
    private static final String CANCEL = "/v1/cancel";
    private static final String OWNER_QUERY = "owner=";

    private final DaemonContext context;
    private final TaskTable table;
    private final TaskProposals proposals;
    private final Planner planner;
    private final SchedulerExchange exchange;
    private final DataCentreDrainService drains;

    TaskRoutes(
            DaemonContext context,
            TaskTable table,
            TaskProposals proposals,
            Planner planner,
            SchedulerExchange exchange,
            DataCentreDrainService drains) {
        this.context = context;
        this.table = table;
        this.proposals = proposals;
        this.planner = planner;
        this.exchange = exchange;
        this.drains = drains;
    }

    void register(HttpListener listener) {
        listener.route(TASKS, this::tasks);
        listener.route(JOBS, this::job);
        listener.route(WORKERS, this::workers);
        listener.route(CANCEL, this::cancel);
        listener.route(DATA_CENTRES, this::dataCentres);
        listener.route(DATA_CENTRE_PREFIX, this::dataCentre);
    }

    private void tasks(HttpExchange exchange) {
        requireMethod(exchange, "GET");
        Optional<ManifestKey> owner = ownerQuery(exchange);
        Stream<TaskRecord> records = owner.isEmpty()
                ? table.tasks().stream()
                : table.owner(owner.get()).stream().flatMap(this::tasksOf);
        List<TaskRow> rows = records.sorted(Comparator.comparing(TaskRecord::id))
                .map(task -> TaskRow.of(task, table.owner(task.owner())))
                .toList();
        JsonExchange.respond(exchange, 200, Map.of("tasks", rows));
    }

    private Stream<TaskRecord> tasksOf(OwnerRecord owner) {
        return IntStream.range(0, owner.created()).mapToObj(owner::taskId).flatMap(id -> table.task(id).stream());
    }

    private void job(HttpExchange exchange) {
        requireMethod(exchange, "GET");
        JobName name = JobName.of(exchange.getRequestURI().getPath().substring(JOBS.length()));
        ManifestKey key = ManifestKey.of(ManifestKind.JOB, name.value());
        Optional<OwnerRecord> owner = table.owner(key);
        if (owner.isPresent()) {
            JsonExchange.respond(exchange, 200, JobRow.of(owner.get(), tasksOf(owner.get())));
            return;
        }
        JobManifest declared = context.configuration()
                .current()
                .find(key)
                .map(Configuration.Entry::manifest)
                .map(JobManifest.class::cast)
                .orElseThrow(() -> unknownJob(name));
        JsonExchange.respond(exchange, 200, JobRow.notYetPlanned(declared));
    }

    private void workers(HttpExchange exchange) {
        requireMethod(exchange, "GET");
        JsonExchange.respondWhenComplete(exchange, this.exchange.workers().thenApply(rows -> Map.of("workers", rows)));
    }

    private void dataCentres(HttpExchange exchange) {
        requireMethod(exchange, "GET");
        List<DataCentreRow> rows =
                drains.known().stream().map(id -> DataCentreRow.of(table, id)).toList();
        JsonExchange.respond(exchange, 200, Map.of("dataCentres", rows));
    }

    private void dataCentre(HttpExchange exchange) {
        requireMethod(exchange, "GET");
        DataCentreId id = DataCentreId.of(exchange.getRequestURI().getPath().substring(DATA_CENTRE_PREFIX.length()));
        drains.requireKnown(id);
        List<TaskRow> live = table.tasks().stream()
                .filter(task -> task.state().live() && id.equals(task.dataCentre()))
                .sorted(Comparator.comparing(TaskRecord::id))
                .map(task -> TaskRow.of(task, table.owner(task.owner())))
                .toList();
        JsonExchange.respond(exchange, 200, Map.of("dataCentre", DataCentreRow.of(table, id), "tasks", live));
    }

    private void cancel(HttpExchange exchange) throws IOException {
        requireMethod(exchange, "POST");
        CancelBody body = JsonExchange.read(exchange, CancelBody.class);
        if (body.jobs() == null || body.jobs().isEmpty()) {
            throw WaxwingheadException.of(ErrorKind.INVALID_INPUT, "jobs is missing or empty", "name the jobs");
        }
        body.jobs().forEach(this::requireKnown);
        CompletableFuture<CommandResult> cancelled =
                planner.reconcile().thenCompose(done -> proposals.propose(new TaskCommand.CancelJobs(body.jobs())));
        JsonExchange.respondWhenComplete(exchange, cancelled.thenApply(result -> Map.of("cancelled", body.jobs())));
    }

    private void requireKnown(JobName name) {
        ManifestKey key = ManifestKey.of(ManifestKind.JOB, name.value());
        if (table.owner(key).isEmpty()
                && context.configuration().current().find(key).isEmpty()) {
            throw unknownJob(name);
        }
    }

    private static Optional<ManifestKey> ownerQuery(HttpExchange exchange) {
        String query = exchange.getRequestURI().getRawQuery();
        if (query == null) {
            return Optional.empty();
        }
        String owner = query.startsWith(OWNER_QUERY)
                ? URLDecoder.decode(query.substring(OWNER_QUERY.length()), StandardCharsets.UTF_8)
                : "";
        int slash = owner.indexOf('/');
        if (slash < 0) {
            throw WaxwingheadException.of(
                    ErrorKind.INVALID_INPUT, "unknown query '" + query + "'", "use owner=job/… or owner=service/…");
        }
        return Optional.of(ManifestKey.of(ManifestKind.ofText(owner.substring(0, slash)), owner.substring(slash + 1)));
    }

    private static void requireMethod(HttpExchange exchange, String method) {
        if (!exchange.getRequestMethod().equals(method)) {
            throw WaxwingheadException.of(
                    ErrorKind.INVALID_INPUT,
                    "method " + exchange.getRequestMethod() + " is not allowed",
                    "use " + method);
        }
    }

    private static WaxwingheadException unknownJob(JobName name) {
        return WaxwingheadException.of(ErrorKind.NOT_FOUND, "there is no job '" + name + "'", "see 'get jobs'");
    }

    /** The JSON body of a cancellation. Cancelling is idempotent, so the change id is not stored. */
    private record CancelBody(ChangeId changeId, List<JobName> jobs) {}
}
