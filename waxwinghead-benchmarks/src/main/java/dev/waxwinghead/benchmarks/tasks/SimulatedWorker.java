package dev.waxwinghead.benchmarks.tasks;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.RackId;
import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.label.Labels;
import dev.waxwinghead.scheduling.placement.WorkerDescription;
import dev.waxwinghead.scheduling.task.PollReport;
import dev.waxwinghead.scheduling.task.WorkerCommand;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Simulates a worker in virtual time.
 *
 * <p>Batch tasks progress at a rate that depends on throttling and on the load of the worker. The latency of service
 * tasks depends on the batch tasks that run on the same worker.
 */
final class SimulatedWorker {
    private static final double BASE_LATENCY_RATIO = 0.5;
    private static final double LATENCY_NOISE = 0.03;
    private static final double SERVICE_USAGE_SHARE = 0.6;

    final Map<TaskId, SimulatedTask> tasks = new LinkedHashMap<>();
    final WorkerDescription description;
    private final Fleet fleet;
    private final Scenario scenario;
    private final Workloads workloads;
    private final Random random;
    long incarnation = 1;
    long sequence;
    long term;
    double lostUntil = -1;
    double doneCoreSeconds;

    SimulatedWorker(int number, Fleet fleet, Scenario scenario, Workloads workloads, Random random) {
        this.fleet = fleet;
        this.scenario = scenario;
        this.workloads = workloads;
        this.random = random;
        this.description = new WorkerDescription(
                WorkerId.of("w" + number),
                DataCentreId.of("dc1"),
                RackId.of("r" + number / fleet.workersPerRack()),
                fleet.capacity(),
                Labels.NONE);
    }

    /** Ends all tasks and makes the worker unreachable until the given virtual time. */
    void markLost(double until) {
        lostUntil = until;
        tasks.clear();
        incarnation++;
        sequence = 0;
        term = 0;
    }

    /** Advances all tasks by one second and returns the actual latency of each service task. */
    List<Double> advanceOneSecond(double now) {
        double load = load();
        double slowdown = Math.max(1, load);
        List<Double> latencies = new ArrayList<>();
        for (SimulatedTask task : tasks.values()) {
            if (!task.running()) {
                continue;
            }
            if (task.service >= 0) {
                task.addMeasurement(now, latencyRatio(task.service, load, now));
                latencies.add(task.latestRatio());
            } else {
                double rate = (task.throttled ? 0.5 : 1) / slowdown;
                task.advance(rate);
                doneCoreSeconds += rate * workloads.actualMillicores(task.batchClass) / 1_000;
            }
        }
        return latencies;
    }

    PollReport report(double now) {
        List<PollReport.TaskReport> reports = new ArrayList<>();
        tasks.forEach((id, task) -> reports.add(task.report(id, now, scenario.measurementDelaySeconds(), workloads)));
        return new PollReport(description, incarnation, ++sequence, term, false, reports);
    }

    void execute(WorkerCommand command) {
        if (command instanceof WorkerCommand.Start start && !tasks.containsKey(start.task())) {
            tasks.put(start.task(), SimulatedTask.of(start, random));
        } else if (command instanceof WorkerCommand.Stop stop && tasks.containsKey(stop.task())) {
            tasks.get(stop.task()).stop();
        } else if (command instanceof WorkerCommand.Throttle throttle && tasks.containsKey(throttle.task())) {
            tasks.get(throttle.task()).throttle(throttle.millicores());
        } else if (command instanceof WorkerCommand.Acknowledge acknowledge) {
            tasks.remove(acknowledge.task());
        }
    }

    private double load() {
        double used = 0;
        for (SimulatedTask task : tasks.values()) {
            if (task.running()) {
                used += task.service >= 0
                        ? SERVICE_USAGE_SHARE * fleet.capacity().millicores() / 4
                        : workloads.actualMillicores(task.batchClass) * (task.throttled ? 0.5 : 1);
            }
        }
        return used / fleet.capacity().millicores();
    }

    private double latencyRatio(int service, double load, double now) {
        double ratio = BASE_LATENCY_RATIO * scenario.load(now);
        for (SimulatedTask task : tasks.values()) {
            if (task.running() && task.service < 0) {
                ratio += workloads.latencyIncrease(service, task.batchClass) * (task.throttled ? 0.5 : 1);
            }
        }
        double overload = Math.max(0, load - 0.95) * 2;
        return (ratio + overload) * (1 + LATENCY_NOISE * random.nextGaussian());
    }

    /** Simulates one task on a worker. */
    static final class SimulatedTask {
        /** The share of the declared processors below which a limit counts as throttling. */
        private static final double UNTHROTTLED_SHARE = 0.99;

        final int service;
        final int batchClass;
        boolean throttled;
        private final int attempt;
        private final long declaredMillicores;
        private final Deque<double[]> measurements = new ArrayDeque<>();
        private double remainingSeconds;
        private PollReport.Phase phase = PollReport.Phase.RUNNING;
        private String checkpoint;

        private SimulatedTask(
                int service, int batchClass, int attempt, long declaredMillicores, double remainingSeconds) {
            this.service = service;
            this.batchClass = batchClass;
            this.attempt = attempt;
            this.declaredMillicores = declaredMillicores;
            this.remainingSeconds = remainingSeconds;
        }

        static SimulatedTask of(WorkerCommand.Start start, Random random) {
            if (start.service() != null) {
                return new SimulatedTask(
                        Workloads.serviceIndex(start.task().value()),
                        -1,
                        start.attempt(),
                        start.resources().millicores(),
                        Double.MAX_VALUE);
            }
            String name = start.task().value();
            int batchClass = Character.digit(name.charAt(name.indexOf("-c") + 2), 10);
            double seconds =
                    start.checkpoint() == null ? 60 + random.nextInt(540) : Double.parseDouble(start.checkpoint());
            return new SimulatedTask(
                    -1, batchClass, start.attempt(), start.resources().millicores(), seconds);
        }

        boolean running() {
            return phase == PollReport.Phase.RUNNING;
        }

        void advance(double seconds) {
            remainingSeconds -= seconds;
            if (remainingSeconds <= 0) {
                phase = PollReport.Phase.COMPLETED;
            }
        }

        void stop() {
            if (running()) {
                checkpoint = Double.toString(Math.max(1, remainingSeconds));
                phase = PollReport.Phase.STOPPED;
            }
        }

        void throttle(long millicores) {
            throttled = millicores < UNTHROTTLED_SHARE * declaredMillicores;
        }

        void addMeasurement(double now, double ratio) {
            measurements.addLast(new double[] {now, ratio});
        }

        double latestRatio() {
            return measurements.peekLast()[1];
        }

        PollReport.TaskReport report(TaskId id, double now, double delay, Workloads workloads) {
            return new PollReport.TaskReport(id, attempt, phase, usage(now, delay, workloads), checkpoint, null);
        }

        /** Returns the newest measurement that has arrived after the delay; null if a service task has none yet. */
        private PollReport.Usage usage(double now, double delay, Workloads workloads) {
            double[] arrived = null;
            while (!measurements.isEmpty() && now - measurements.peekFirst()[0] >= delay) {
                arrived = measurements.pollFirst();
            }
            if (service < 0) {
                long used = (long) workloads.actualMillicores(batchClass);
                return new PollReport.Usage(throttled ? used / 2 : used, 1, (long) (delay * 1e9), 0);
            }
            return arrived == null
                    ? null
                    : new PollReport.Usage(declaredMillicores, 1, (long) ((now - arrived[0]) * 1e9), arrived[1]);
        }
    }
}
