package dev.waxwinghead.scheduling.job;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.model.id.JobClassName;
import dev.waxwinghead.model.id.JobId;
import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.scheduling.overload.CapacityOrder;
import dev.waxwinghead.scheduling.overload.JobDemand;
import dev.waxwinghead.scheduling.overload.LoadView;
import dev.waxwinghead.scheduling.overload.OverloadControl;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;

/**
 * Compares the orders of jobs on seeded loads with mixed priorities, heavy-tailed work and estimates wrong by half.
 *
 * <p>The system property {@code table} prints the results, as shown in {@code docs/design/overload.md}.
 */
class OverloadedFleetTests {
    private static final int WORKERS = 8;
    private static final long WORKER_MILLICORES = 32_000;
    private static final long TASK_MILLICORES = 2000;
    private static final long LOAD_MILLIS = 40_000;

    /** The priorities of the jobs, each with the share of its occurrences. */
    private static final List<Integer> MIXED = List.of(0, 0, 0, 1, 1, 1, 2, 2, 2, 2);

    private static final List<Integer> SINGLE = List.of(0);

    /** The share of the processor time that tasks get; the rest passes between an end and the next start. */
    private static final double USABLE_SHARE = 0.85;

    private enum Order implements CapacityOrder {
        TODAY,
        EARLIEST_DUE,
        SHORTEST_WORK,
        NEW;

        @Override
        public List<JobDemand> order(LoadView view, long epochMillis) {
            return switch (this) {
                case TODAY -> view.jobs();
                case EARLIEST_DUE -> sorted(view, Comparator.comparingLong(JobDemand::dueEpochMillis));
                case SHORTEST_WORK -> sorted(view, Comparator.comparingLong(JobDemand::remainingCoreMillis));
                case NEW -> OverloadControl.decide(view, epochMillis);
            };
        }

        private static List<JobDemand> sorted(LoadView view, Comparator<JobDemand> withinPriority) {
            return view.jobs().stream()
                    .sorted(Comparator.comparingInt(JobDemand::priority).thenComparing(withinPriority))
                    .toList();
        }
    }

    /** Guards against an order that gives up jobs which today's order serves. */
    @Test
    void theNewOrderIsLevelWithTodaysAtTheCapacity() {
        Results today = play(1.0, Order.TODAY, MIXED, 1);
        Results selected = play(1.0, Order.NEW, MIXED, 1);
        assertThat(selected.inTime()).isAtLeast(today.inTime() - 0.02);
    }

    /** Guards against a capacity that is divided among jobs that end late, and against starving the largest jobs. */
    @Test
    void theNewOrderServesMoreInTimeAtTwiceTheCapacity() {
        Results today = play(2, Order.TODAY, SINGLE, 1);
        Results selected = play(2, Order.NEW, SINGLE, 1);
        assertThat(selected.inTime()).isGreaterThan(today.inTime());
        assertThat(selected.workInTime()).isGreaterThan(today.workInTime());
        assertThat(selected.served(0.9, 1)).isAtLeast(selected.served(0, 1) / 2);
        assertThat(selected.served(0.7, 0.9)).isAtLeast(selected.served(0, 1) / 2);
    }

    /** Prints the comparison of all orders. */
    @Test
    @EnabledIfSystemProperty(named = "table", matches = "true")
    void comparesTheOrders() {
        for (List<Integer> priorities : List.of(MIXED, SINGLE)) {
            for (double load : new double[] {1.0, 1.2, 1.5, 2, 3}) {
                for (Order order : Order.values()) {
                    Results results = play(load, order, priorities, 1, 7, 42);
                    System.out.printf(Locale.ROOT, "| %.1f | %s | %s%n", load, order, results.row());
                    assertThat(results.outcomes).isNotEmpty();
                }
            }
        }
    }

    private static Results play(double load, Order order, List<Integer> priorities, long... seeds) {
        Results results = new Results();
        for (long seed : seeds) {
            play(load, order, priorities, seed, results);
        }
        return results;
    }

    /** Plays a load and adds the jobs submitted in it to the results. */
    private static void play(double load, Order order, List<Integer> priorities, long seed, Results results) {
        FleetSimulation fleet = new FleetSimulation(WORKERS, WORKER_MILLICORES, new SilentListener(), order);
        Random random = new Random(seed);
        List<Job> jobs = new ArrayList<>();
        double work = load * USABLE_SHARE * WORKERS * WORKER_MILLICORES / 1000 * LOAD_MILLIS;
        while (work > 0) {
            Job job = Job.random("j" + jobs.size(), priorities, random);
            double slowness = random.nextDouble(0.5, 1.5);
            fleet.setSlowness(job.id(), slowness);
            fleet.submit(
                    1000 + random.nextLong(LOAD_MILLIS),
                    job.terms(),
                    job.id(),
                    job.steps().toArray(JobStep[]::new));
            jobs.add(job);
            work -= job.coreMillis() * slowness;
        }
        fleet.run(Duration.ofMillis(LOAD_MILLIS + 12_000));
        jobs.forEach(job -> results.add(fleet, job));
    }

    /** A job of one or two steps; few jobs have many times the tasks of most others. */
    private record Job(String id, JobTerms terms, List<JobStep> steps) {
        static Job random(String id, List<Integer> priorities, Random random) {
            int priority = priorities.get(random.nextInt(priorities.size()));
            JobTerms terms =
                    new JobTerms(JobClassName.of("p" + priority), ServiceName.of("orders"), priority, 3, 1.5, 1200);
            int count = (int) Math.min(80, 4 / Math.pow(1 - random.nextDouble(), 1 / 1.5));
            long millis = random.nextLong(300, 1100);
            List<JobStep> steps = new ArrayList<>();
            steps.add(FleetTests.step(count, millis, TASK_MILLICORES, false));
            if (random.nextBoolean()) {
                steps.add(FleetTests.step(count, millis, TASK_MILLICORES, false, 0));
            }
            return new Job(id, terms, steps);
        }

        JobSubmission submission() {
            return new JobSubmission(JobId.of(id), "p", steps, JobSchedule.ONCE);
        }

        long coreMillis() {
            long total = 0;
            for (JobStep step : steps) {
                total += step.count() * step.estimateMillis() * TASK_MILLICORES / 1000;
            }
            return total;
        }
    }

    /** What became of jobs. */
    private static final class Results {
        private final List<Outcome> outcomes = new ArrayList<>();

        void add(FleetSimulation fleet, Job job) {
            long objective = job.terms().objectiveMillis(job.submission());
            long duration = fleet.duration(job.id()).orElse(Long.MAX_VALUE);
            outcomes.add(new Outcome(
                    job.terms().priority(),
                    job.coreMillis(),
                    duration <= objective,
                    duration <= 3 * objective,
                    fleet.coreMillisOf(job.id()),
                    fleet.startDelay(job.id()).orElse(2 * LOAD_MILLIS)));
        }

        private double share(Predicate<Outcome> group, Predicate<Outcome> counted) {
            long size = outcomes.stream().filter(group).count();
            return (double) outcomes.stream().filter(group.and(counted)).count() / Math.max(1, size);
        }

        double inTime() {
            return share(outcome -> true, Outcome::inTime);
        }

        double inTime(int priority) {
            return share(outcome -> outcome.priority == priority, Outcome::inTime);
        }

        /** Returns the share of jobs that ended while useful, of those between two quantiles of the work. */
        double served(double from, double to) {
            List<Outcome> bySize = new ArrayList<>(outcomes);
            bySize.sort(Comparator.comparingLong(Outcome::coreMillis));
            List<Outcome> part = bySize.subList((int) (from * bySize.size()), (int) (to * bySize.size()));
            return (double) part.stream().filter(Outcome::useful).count() / part.size();
        }

        /** Returns the share of the work in jobs that ended in time. */
        double workInTime() {
            long total = outcomes.stream().mapToLong(Outcome::coreMillis).sum();
            return (double) outcomes.stream()
                            .filter(Outcome::inTime)
                            .mapToLong(Outcome::coreMillis)
                            .sum()
                    / total;
        }

        /** Returns the share of the used processor time that went into jobs that did not end while useful. */
        double wasted() {
            long used = outcomes.stream().mapToLong(Outcome::usedCoreMillis).sum();
            long useless = outcomes.stream()
                    .filter(outcome -> !outcome.useful)
                    .mapToLong(Outcome::usedCoreMillis)
                    .sum();
            return (double) useless / used;
        }

        long longestWaitMillis() {
            return outcomes.stream()
                    .filter(Outcome::useful)
                    .mapToLong(Outcome::startDelayMillis)
                    .max()
                    .orElse(0);
        }

        String row() {
            return String.format(
                    Locale.ROOT,
                    "%.3f | %.3f / %.3f / %.3f | %.3f | %.3f | %.3f / %.3f / %.3f | %.3f | %.1f |",
                    inTime(),
                    inTime(0),
                    inTime(1),
                    inTime(2),
                    workInTime(),
                    share(outcome -> true, Outcome::useful),
                    served(0, 0.7),
                    served(0.7, 0.9),
                    served(0.9, 1),
                    wasted(),
                    longestWaitMillis() / 1000.0);
        }

        private record Outcome(
                int priority,
                long coreMillis,
                boolean inTime,
                boolean useful,
                long usedCoreMillis,
                long startDelayMillis) {}
    }
}
