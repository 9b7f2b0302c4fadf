package dev.waxwinghead.benchmarks.tasks;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.manifest.Manifest;
import dev.waxwinghead.scheduling.task.DataCentreScheduler;
import dev.waxwinghead.scheduling.task.LearnedCostModel;
import dev.waxwinghead.scheduling.task.LeaseDurations;
import dev.waxwinghead.scheduling.task.PollAnswer;
import dev.waxwinghead.scheduling.task.TaskCommand;
import dev.waxwinghead.scheduling.task.TaskTable;
import dev.waxwinghead.scheduling.task.Transition;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Simulates one policy on one fleet in one scenario, in virtual time from a fixed seed. */
final class PolicyRun {
    private static final DataCentreId DATA_CENTRE = DataCentreId.of("dc1");
    private static final LeaseDurations TIMES = LeaseDurations.of(Duration.ofSeconds(60), Duration.ofSeconds(10));
    private static final int WARM_UP_SECONDS = 300;
    private static final int URGENT_INTERVAL_SECONDS = 60;
    private static final int WAVE_INTERVAL_SECONDS = 600;
    private static final double BACKLOG_SHARE = 0.25;

    private final Fleet fleet;
    private final Scenario scenario;
    private final Policy policy;
    private final int seconds;
    private final Random random;
    private final Workloads workloads;
    private final TaskTable table = TaskTable.create();
    private final DataCentreScheduler scheduler;
    private final List<SimulatedWorker> workers = new ArrayList<>();
    private final List<TaskId> changedTasks = new ArrayList<>();
    private final Map<TaskId, Double> urgentSubmittedAt = new HashMap<>();
    private final List<Double> urgentStartSeconds = new ArrayList<>();
    private final List<Double> latencies = new ArrayList<>();
    private long index;
    private int jobs;
    private int started;
    private int evicted;
    private int waiting;
    private int now;

    private PolicyRun(Fleet fleet, Scenario scenario, Policy policy, int seconds, long seed) {
        this.fleet = fleet;
        this.scenario = scenario;
        this.policy = policy;
        this.seconds = seconds;
        this.random = new Random(seed);
        this.workloads = new Workloads(fleet, scenario, random);
        for (int i = 0; i < fleet.workers(); i++) {
            workers.add(new SimulatedWorker(i, fleet, scenario, workloads, new Random(random.nextLong())));
        }
        apply(new TaskCommand.Acquire(DATA_CENTRE, HostId.of("e1"), "e1", 0, TIMES.maxLeaseMillis()));
        LearnedCostModel learning = policy.learning();
        learning.objective(fleet.objective());
        scheduler = DataCentreScheduler.create(
                table.scheduler(DATA_CENTRE).orElseThrow(), table, TIMES, policy.score(learning), learning, 0, 0);
        table.onChange(task -> changedTasks.add(task.id()));
    }

    static PolicyResult run(Fleet fleet, Scenario scenario, Policy policy, int seconds, long seed) {
        return new PolicyRun(fleet, scenario, policy, seconds, seed).run();
    }

    private PolicyResult run() {
        List<Manifest> services = new ArrayList<>();
        for (int i = 0; i < Workloads.SERVICES; i++) {
            services.add(workloads.service(i));
        }
        applyManifests(services);
        double doneBefore = 0;
        for (now = 1; now <= seconds; now++) {
            if (now == WARM_UP_SECONDS) {
                latencies.clear();
                urgentStartSeconds.clear();
                started = 0;
                evicted = 0;
                doneBefore = doneCoreSeconds();
            }
            scheduler.extendAuthority(nowNanos());
            submitJobs();
            loseWorkers();
            for (SimulatedWorker worker : workers) {
                stepWorker(worker);
            }
            scheduler.tick(nowNanos());
            commitTransitions();
        }
        double hours = (seconds - WARM_UP_SECONDS) / 3_600.0;
        return new PolicyResult(
                fleet.name(),
                scenario,
                policy,
                percentile99(latencies),
                (doneCoreSeconds() - doneBefore) / 3_600 / hours,
                started == 0 ? 0 : 1_000.0 * evicted / started,
                percentile99(urgentStartSeconds),
                started);
    }

    private void stepWorker(SimulatedWorker worker) {
        if (now < worker.lostUntil) {
            return;
        }
        latencies.addAll(worker.advanceOneSecond(now));
        PollAnswer answer = scheduler.poll(worker.report(now), nowNanos());
        if (answer.leaseNanos() > 0) {
            worker.term = answer.term();
            answer.commands().forEach(worker::execute);
        }
        commitTransitions();
    }

    /** Submits jobs so that a backlog remains and throughput is limited by the policy, not by the supply of tasks. */
    private void submitJobs() {
        List<Manifest> arrivals = new ArrayList<>();
        int tasksPerJob = Math.max(4, fleet.workers() / 3);
        if (now > 20 && waiting < BACKLOG_SHARE * fleet.workers() * 8) {
            int batchClass = random.nextInt(Workloads.CLASSES - 1);
            arrivals.add(workloads.job(nextJobName(batchClass), batchClass, tasksPerJob, false));
        }
        if (scenario == Scenario.NOISY_WAVES && now % WAVE_INTERVAL_SECONDS == 0) {
            arrivals.add(workloads.job(
                    nextJobName(Workloads.NOISY_CLASS), Workloads.NOISY_CLASS, 2 * fleet.workers(), false));
        }
        if (now > 60 && now % URGENT_INTERVAL_SECONDS == 0) {
            arrivals.add(workloads.job(nextJobName(1) + "-urgent", 1, 2, true));
        }
        if (!arrivals.isEmpty()) {
            applyManifests(arrivals);
        }
    }

    private String nextJobName(int batchClass) {
        return "job" + jobs++ + "-c" + batchClass;
    }

    private void loseWorkers() {
        double perSecond = 0.02 * fleet.workers() / 3_600;
        if (scenario == Scenario.LOST_WORKERS && random.nextDouble() < perSecond) {
            workers.get(random.nextInt(workers.size())).markLost(now + 600.0);
        }
    }

    private void applyManifests(List<Manifest> manifests) {
        long revision = table.configurationRevision() + 1;
        List<TaskCommand.OwnerChange> changes = manifests.stream()
                .map(manifest -> new TaskCommand.OwnerChange(manifest.key(), revision, manifest))
                .toList();
        apply(new TaskCommand.Reconcile(revision - 1, revision, changes));
        List<TaskId> created = changedTasks.stream().distinct().toList();
        for (TaskId id : created) {
            if (id.value().contains("-urgent/")) {
                urgentSubmittedAt.put(id, (double) now);
            }
        }
        waiting += created.size();
        apply(new TaskCommand.Delegate(DATA_CENTRE, created));
    }

    private void commitTransitions() {
        refreshChangedTasks();
        for (List<Transition> batch = scheduler.takeTransitions(10_000);
                !batch.isEmpty();
                batch = scheduler.takeTransitions(10_000)) {
            batch.forEach(this::countTransition);
            apply(new TaskCommand.Transitions(DATA_CENTRE, scheduler.term(), batch));
            refreshChangedTasks();
            scheduler.settle(batch, nowNanos());
        }
    }

    private void countTransition(Transition transition) {
        boolean service = transition.task().value().startsWith("service/");
        if (transition instanceof Transition.Start && !service) {
            started++;
            waiting--;
        } else if (transition instanceof Transition.Report report) {
            countReport(report, service);
        }
    }

    private void countReport(Transition.Report report, boolean service) {
        switch (report.kind()) {
            case RUNNING -> {
                Double submittedAt = urgentSubmittedAt.remove(report.task());
                if (submittedAt != null) {
                    urgentStartSeconds.add(now - submittedAt);
                }
            }
            case EVICTING -> evicted += service ? 0 : 1;
            case STOPPED, LOST -> waiting += service ? 0 : 1;
            default -> {}
        }
    }

    private void refreshChangedTasks() {
        List<TaskId> tasks = List.copyOf(changedTasks);
        changedTasks.clear();
        tasks.forEach(scheduler::refreshTask);
    }

    private void apply(TaskCommand command) {
        table.apply(++index, command);
    }

    private double doneCoreSeconds() {
        return workers.stream().mapToDouble(worker -> worker.doneCoreSeconds).sum();
    }

    private long nowNanos() {
        return now * 1_000_000_000L;
    }

    private static double percentile99(List<Double> values) {
        if (values.isEmpty()) {
            return 0;
        }
        List<Double> sorted = new ArrayList<>(values);
        Collections.sort(sorted);
        return sorted.get((int) Math.min(sorted.size() - 1L, (long) (0.99 * sorted.size())));
    }
}
