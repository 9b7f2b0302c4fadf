package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.JobClassName;
import dev.waxwinghead.model.id.JobId;
import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.resource.Resources;
import dev.waxwinghead.scheduling.job.ModelWorker.ModelEnd;
import dev.waxwinghead.scheduling.job.ModelWorker.ModelRun;
import dev.waxwinghead.scheduling.job.WorkerReport.ReportedEnd;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Plays a random history of two {@link JobScheduler}s on one table and of workers, in virtual time.
 *
 * <p>While a history is disturbed, commits, reports and answers are lost or late, workers crash, leave and return, jobs
 * are canceled and the schedulers replace each other. In the quiet that follows, the table is compared with the runs of
 * the workers.
 */
final class ModelFleet {
    private static final SchedulerTimes TIMES = new SchedulerTimes(
            Duration.ofSeconds(4), Duration.ofSeconds(1), Duration.ofSeconds(20), Duration.ofMillis(20));
    private static final JobId[] NO_JOBS = {};
    private static final long POLL_MILLIS = 50;
    private static final long ANSWER_CHECK_MILLIS = 25;
    private static final long COMMIT_TIMEOUT_MILLIS = 1000;
    private static final long GANG_MILLIS = 3000;
    private static final long GANG_BREAK_MILLIS = 100;
    private static final long SAMPLE_MILLIS = 100;

    /** Covers the longest lease that a scheduler waits for, a report and a commit. */
    private static final long SETTLING_MILLIS = TimeUnit.NANOSECONDS.toMillis(TIMES.inheritedLeaseBoundNanos()) + 1000;

    /** How long the table and a worker may differ while nothing is disturbed. */
    private static final long MAX_DIFFERENCE_MILLIS = 3000;

    private static final long MAX_WAIT_MILLIS = 3000;
    private static final long MAX_LASTING_WAIT_MILLIS = 6000;
    private static final long CHECKED_MILLIS = 8000;
    private static final long PLANNED_WORK_MILLIS = 30_000;
    private static final int MEAN_PLANNED_EVENT_MILLIS = 600;
    private static final String LABEL = "ssd";

    /** How long a lasting task may wait after its worker has gone without a report of the end. */
    private static final long MAX_LASTING_WAIT_AFTER_LOSS_MILLIS =
            TimeUnit.NANOSECONDS.toMillis(TIMES.inheritedLeaseBoundNanos()) + 2000;

    private static final long FILLING_MILLICORES = 1000;
    private static final long NO_EPOCH = -1;
    private static final List<DataCentreId> DATA_CENTRES = List.of(DataCentreId.of("dc-0"), DataCentreId.of("dc-1"));

    /** The longest time from a report to the moment at which the worker obeys its answer. */
    private static final long MAX_ANSWER_AGE_MILLIS = 1000;

    private final Random random;
    /** Draws what histories of all kinds of tasks have beyond the others, whose draws stay the same. */
    private final Optional<Random> kinds;

    /** Draws the drains of data centres in histories that have any. */
    private final Optional<Random> drains;

    /** Draws the planned work and the constraints of tasks in histories that have them. */
    private final Optional<Random> plannedWork;

    private final LastingTaskWaits lastingWaits =
            new LastingTaskWaits(MAX_LASTING_WAIT_MILLIS, MAX_LASTING_WAIT_AFTER_LOSS_MILLIS);
    private final Map<DataCentreId, Long> drainedMillis = new HashMap<>();
    private final boolean tracing;
    private final JobTable table = JobTable.create();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::millis).thenComparingLong(Event::number));
    private final List<Host> hosts = List.of(new Host("h1"), new Host("h2"));
    private final List<ModelWorker> workers = new ArrayList<>();
    private final Map<TaskKey, List<Completion>> completions = new HashMap<>();
    private final Map<GangRun, Map<RunKey, ModelWorker>> gangs = new HashMap<>();
    private final Map<String, Long> differences = new LinkedHashMap<>();
    private final double lossShare;
    private final double delayShare;
    private final double commitTroubleShare;
    private final double failureShare;
    private final double promptCancelShare;
    private final int meanEventMillis;
    private Host leader = hosts.get(0);
    private boolean disturbed;
    private int pending;
    private int jobNumber;
    private long nowMillis = 1_000_000;
    private long eventNumber;
    private long logIndex;

    /**
     * Creates a fleet.
     *
     * @param allKinds whether the history also has scheduled jobs, speculative steps, lasting gangs, lasting tasks that
     *     complete, crashes before an end is reported, and tables restored from a snapshot
     * @param withDrains whether data centres are drained and undrained
     * @param withPlannedWork whether schedulers restart, workers leave with short notice and finite jobs are submitted
     *     while lasting tasks are checked, and whether tasks are constrained by memory, labels and their number per
     *     worker; no task fails
     */
    ModelFleet(long seed, boolean tracing, boolean allKinds, boolean withDrains, boolean withPlannedWork) {
        this.random = new Random(seed);
        this.kinds = allKinds ? Optional.of(new Random(~seed)) : Optional.empty();
        this.drains = withDrains ? Optional.of(new Random(31 * ~seed)) : Optional.empty();
        this.plannedWork = withPlannedWork ? Optional.of(new Random(37 * ~seed)) : Optional.empty();
        this.tracing = tracing;
        this.lossShare = random.nextBoolean() ? 0 : 0.2 * random.nextDouble();
        this.delayShare = random.nextBoolean() ? 0 : 0.3 * random.nextDouble();
        this.commitTroubleShare = random.nextBoolean() ? 0 : 0.1 * random.nextDouble();
        this.failureShare = random.nextInt(4) > 0 || withPlannedWork ? 0 : 0.1;
        this.promptCancelShare = random.nextBoolean() ? 0 : random.nextDouble();
        this.meanEventMillis = 100 + random.nextInt(900);
        int count = 3 + random.nextInt(4);
        for (int i = 0; i < count; i++) {
            workers.add(new ModelWorker(this, i));
        }
    }

    /** Plays disturbed and quiet periods in turn. Throws an {@link AssertionError} if a check fails. */
    void run() {
        workers.forEach(worker -> at(random.nextInt(100), () -> worker.start(true)));
        at(0, this::pollPlan);
        at(0, this::answerDue);
        for (int period = 0; period < 2; period++) {
            disturb(2000 + random.nextInt(8000));
            settle();
            check();
            plannedWork.ifPresent(this::playPlannedWork);
            DATA_CENTRES.forEach(this::undrain);
        }
        checkAllRoomIsGivenBack();
    }

    Random random() {
        return random;
    }

    long nowMillis() {
        return nowMillis;
    }

    void trace(String format, Object... arguments) {
        if (tracing) {
            System.out.println(nowMillis + " " + String.format(Locale.ROOT, format, arguments));
        }
    }

    void at(long delayMillis, Runnable action) {
        events.add(new Event(nowMillis + delayMillis, eventNumber++, action));
    }

    JobStep step(TaskKey task) {
        return table.find(task.job()).orElseThrow().step(task).step();
    }

    /** Returns after which time a lasting run completes by itself, empty if it runs on. */
    Optional<Long> completesAfter(JobStep step) {
        return disturbed && step.lasting() && chance(0.3)
                ? Optional.of(1L + kinds.get().nextInt(2000))
                : Optional.empty();
    }

    private boolean chance(double share) {
        return kinds.isPresent() && kinds.get().nextDouble() < share;
    }

    boolean fails(JobStep step) {
        return disturbed && !step.gang() && random.nextDouble() < failureShare;
    }

    private void runUntil(long endMillis) {
        while (!events.isEmpty() && events.peek().millis() <= endMillis) {
            Event event = events.poll();
            nowMillis = event.millis();
            event.action().run();
        }
        nowMillis = endMillis;
    }

    private void disturb(long millis) {
        disturbed = true;
        long end = nowMillis + millis;
        while (nowMillis < end) {
            disturbance();
            runUntil(nowMillis + random.nextInt(2 * meanEventMillis));
        }
        disturbed = false;
        if (drainChance(0.5)) {
            DATA_CENTRES.forEach(this::undrain);
        }
    }

    private void settle() {
        do {
            runUntil(nowMillis + SAMPLE_MILLIS);
        } while (pending > 0);
        trace("quiet");
        runUntil(nowMillis + SETTLING_MILLIS);
    }

    private void disturbance() {
        if (chance(0.1)) {
            workers.stream().filter(each -> !each.ends().isEmpty()).findFirst().ifPresent(this::crash);
        }
        if (chance(0.05)) {
            restoreTable();
        }
        if (drainChance(0.2)) {
            drainOrUndrainAny();
        }
        ModelWorker worker = workers.get(random.nextInt(workers.size()));
        switch (random.nextInt(12)) {
            case 0, 1, 2, 3 -> submit();
            case 4, 5 -> cancel();
            case 6 -> crash(worker);
            case 7 -> drain(worker);
            case 8 -> changeLeader();
            case 9 -> cut(worker);
            case 10 -> cutAnswers(worker);
            default -> resign(leader);
        }
    }

    // Planned work

    /** Plays planned work without any disturbance, and checks that lasting tasks run again in time. */
    private void playPlannedWork(Random draws) {
        trace("planned work begins");
        List.copyOf(table.active()).stream().filter(job -> draws.nextBoolean()).forEach(this::cancel);
        for (int jobs = 1 + draws.nextInt(4); jobs > 0; jobs--) {
            submitPlanned(draws, true);
        }
        lastingWaits.beginAt(nowMillis);
        long end = nowMillis + PLANNED_WORK_MILLIS;
        long nextMillis = nowMillis;
        while (nowMillis < end) {
            if (nowMillis >= nextMillis) {
                playPlannedEvent(draws);
                nextMillis = nowMillis + draws.nextInt(2 * MEAN_PLANNED_EVENT_MILLIS);
            }
            requireLastingTasksRunAgain();
            runUntil(nowMillis + SAMPLE_MILLIS);
        }
        long quietMillis = nowMillis + MAX_LASTING_WAIT_AFTER_LOSS_MILLIS;
        while (nowMillis < quietMillis || pending > 0) {
            requireLastingTasksRunAgain();
            runUntil(nowMillis + SAMPLE_MILLIS);
        }
        settle();
    }

    private void playPlannedEvent(Random draws) {
        switch (draws.nextInt(10)) {
            case 0 -> replaceLeader(draws);
            case 1 -> replaceLeaders(draws);
            case 2 -> leaveSoon(draws);
            case 3 -> {
                leaveSoon(draws);
                replaceLeaders(draws);
            }
            case 4 -> submitPlanned(draws, true);
            case 5 -> cancel();
            default -> submitPlanned(draws, false);
        }
    }

    /** Replaces several leaders one after another, as an upgrade does. */
    private void replaceLeaders(Random draws) {
        long delayMillis = 0;
        for (int changes = 1 + draws.nextInt(4); changes > 0; changes--) {
            delayMillis += draws.nextInt(4000);
            later(delayMillis, () -> replaceLeader(draws));
        }
    }

    /** Lets the other host lead, while the leader restarts or runs on with what it has learned. */
    private void replaceLeader(Random draws) {
        if (draws.nextBoolean()) {
            trace("%s restarts", leader.id);
            leader.restart();
        }
        changeLeader();
    }

    private void leaveSoon(Random draws) {
        ModelWorker worker = workers.get(draws.nextInt(workers.size()));
        if (!worker.up() || worker.leaving()) {
            return;
        }
        WorkerIncarnation incarnation = worker.incarnation();
        long noticeMillis = draws.nextInt(1500);
        long absenceMillis = draws.nextInt(12_000);
        worker.drain(noticeMillis);
        later(
                noticeMillis,
                () -> whileUp(worker, incarnation, () -> {
                    worker.terminate("exit");
                    restart(worker, absenceMillis);
                }));
    }

    private void submitPlanned(Random draws, boolean lasting) {
        int count = 1 + draws.nextInt(lasting ? 4 : 6);
        long millicores = 250 + 250L * draws.nextInt(4);
        JobStep step = JobFixtures.step(count, List.of(), lasting, false, 0, millicores);
        submit(List.of(constrained(step)), JobSchedule.ONCE);
    }

    /** Returns a step with a need of memory, a label and a limit of tasks per worker that leave it fewer places. */
    private JobStep constrained(JobStep step) {
        if (plannedWork.isEmpty()) {
            return step;
        }
        Random draws = plannedWork.get();
        long memory = draws.nextInt(3) > 0 ? step.need().memoryBytes() : 20_000 + 1000L * draws.nextInt(30);
        String label = draws.nextInt(4) > 0 ? "" : LABEL;
        int maxPerWorker = draws.nextInt(3) > 0 ? 0 : 1 + draws.nextInt(2);
        return new JobStep(
                step.count(),
                Resources.of(step.need().millicores(), memory, 0),
                step.estimateMillis(),
                step.after(),
                step.checkpoints(),
                step.gang(),
                step.sameRack(),
                label,
                step.dataRack(),
                maxPerWorker,
                step.speculative(),
                step.lasting(),
                step.image(),
                step.targetMillis(),
                step.bestEffort(),
                step.maxUnavailable());
    }

    Set<String> labels(int worker) {
        return worker % 3 == 0 ? Set.of() : Set.of(LABEL);
    }

    private void requireLastingTasksRunAgain() {
        for (JobId id : table.active()) {
            JobRecord job = table.find(id).orElseThrow();
            for (int occurrence = 0; occurrence < job.occurrences().size(); occurrence++) {
                for (int position = 0; position < job.submission().steps().size(); position++) {
                    JobStep step = job.submission().steps().get(position);
                    if (step.lasting() && !step.gang() && !step.bestEffort()) {
                        requireTasksRunAgain(job, occurrence, position);
                    }
                }
            }
        }
    }

    private void requireTasksRunAgain(JobRecord job, int occurrence, int position) {
        JobStep step = job.submission().steps().get(position);
        for (int index = 0; index < step.count(); index++) {
            TaskKey task = new TaskKey(job.id(), occurrence, position, index);
            if (!lastingWaits.waits(task)) {
                continue;
            }
            List<TaskRecord.LiveRun> live = job.task(task).liveRuns();
            live.forEach(run -> lastingWaits.assigned(new RunKey(task, run.attempt()), run.worker()));
            if (leader.scheduler.quarantinedWorkers() > 0 || !hasCapacityFor(task, step)) {
                lastingWaits.withoutCapacity(task, nowMillis);
            }
            lastingWaits
                    .overdueSince(task, nowMillis)
                    .ifPresent(since ->
                            require(false, "%s has had no run since %s, and %s in the table", task, since, live));
        }
    }

    // Data centres

    DataCentreId dataCentre(int worker) {
        return DATA_CENTRES.get(worker % DATA_CENTRES.size());
    }

    private boolean drainChance(double share) {
        return drains.isPresent() && drains.get().nextDouble() < share;
    }

    private void drainOrUndrainAny() {
        DataCentreId dataCentre = DATA_CENTRES.get(drains.get().nextInt(DATA_CENTRES.size()));
        if (table.drainedDataCentres().contains(dataCentre)) {
            undrain(dataCentre);
        } else {
            drain(dataCentre);
        }
    }

    private void drain(DataCentreId dataCentre) {
        trace("drains %s", dataCentre);
        if (table.apply(++logIndex, new JobCommand.Drain(dataCentre)) == JobOutcome.APPLIED) {
            drainedMillis.put(dataCentre, nowMillis);
        }
    }

    private void undrain(DataCentreId dataCentre) {
        trace("undrains %s", dataCentre);
        table.apply(++logIndex, new JobCommand.Undrain(dataCentre));
    }

    private boolean drained(ModelWorker worker) {
        return table.drainedDataCentres().contains(worker.dataCentre());
    }

    // Jobs

    private void submit() {
        List<JobStep> steps = new ArrayList<>();
        int count = 1 + random.nextInt(3);
        for (int position = 0; position < count; position++) {
            boolean waits = position > 0
                    && random.nextInt(3) > 0
                    && !steps.get(position - 1).lasting();
            steps.add(constrained(ofAnyKind(randomStep(waits ? List.of(position - 1) : List.of()))));
        }
        JobId id = submit(steps, schedule());
        if (random.nextDouble() < promptCancelShare) {
            later(random.nextInt(60), () -> cancel(id));
        }
    }

    private JobId submit(List<JobStep> steps, JobSchedule schedule) {
        JobId id = JobId.of("j" + jobNumber++);
        JobTerms terms = new JobTerms(
                JobClassName.of("c" + random.nextInt(3)), ServiceName.of("orders"), random.nextInt(3), 3, 1.5, 5000);
        JobSubmission submission = new JobSubmission(id, "p", steps, schedule);
        if (random.nextInt(10) == 0) {
            table.apply(++logIndex, new JobCommand.Cancel(id));
        }
        trace("accepts %s", submission);
        table.apply(++logIndex, new JobCommand.Accept(submission, terms, nowMillis));
        step(leader);
        return id;
    }

    private JobStep randomStep(List<Integer> after) {
        int kind = random.nextInt(10);
        boolean gang = kind < 2;
        boolean lasting = kind >= 2 && kind < 5;
        boolean bestEffort = kind == 9;
        return new JobStep(
                gang ? 2 + random.nextInt(3) : 1 + random.nextInt(8),
                Resources.of(250 + 250L * random.nextInt(6), 1000, 0),
                200 + random.nextInt(2500),
                after,
                random.nextBoolean(),
                gang,
                false,
                "",
                "",
                0,
                false,
                lasting,
                "image" + random.nextInt(2),
                lasting && random.nextBoolean() ? 100 : 0,
                bestEffort,
                0);
    }

    private JobSchedule schedule() {
        return chance(0.2)
                ? new JobSchedule(
                        2, nowMillis + kinds.get().nextInt(3000), kinds.get().nextInt(2000))
                : JobSchedule.ONCE;
    }

    private JobStep ofAnyKind(JobStep step) {
        boolean lasting = step.lasting() || (step.gang() && chance(0.3));
        boolean speculative = chance(0.2);
        return new JobStep(
                step.count(),
                step.need(),
                step.estimateMillis(),
                step.after(),
                step.checkpoints(),
                step.gang(),
                step.sameRack(),
                step.requiredLabel(),
                step.dataRack(),
                step.maxPerWorker(),
                speculative,
                lasting,
                step.image(),
                step.targetMillis(),
                step.bestEffort(),
                step.maxUnavailable());
    }

    private void cancel() {
        JobId[] active = table.active().toArray(NO_JOBS);
        if (active.length > 0) {
            cancel(active[random.nextInt(active.length)]);
        }
    }

    private void cancel(JobId job) {
        trace("cancels %s", job);
        table.apply(++logIndex, new JobCommand.Cancel(job));
    }

    // Workers

    private void crash(ModelWorker worker) {
        if (worker.up()) {
            worker.terminate("crash");
            restart(worker, 100 + random.nextInt(4000));
        }
    }

    private void restart(ModelWorker worker, long delayMillis) {
        boolean underTheSameId = random.nextBoolean();
        later(delayMillis, () -> worker.start(underTheSameId));
    }

    private void drain(ModelWorker worker) {
        if (!worker.up() || worker.leaving()) {
            return;
        }
        WorkerIncarnation incarnation = worker.incarnation();
        long millis = random.nextInt(4000);
        worker.drain(millis);
        later(millis, () -> whileUp(worker, incarnation, () -> leave(worker, incarnation)));
    }

    /** Sends the announcement of an exit, which is lost, is heard without an answer, or is acknowledged. */
    private void leave(ModelWorker worker, WorkerIncarnation incarnation) {
        int outcome = random.nextInt(3);
        long exitMillis = outcome == 2 ? random.nextInt(20) : random.nextInt(4000);
        if (outcome > 0 && acting(leader)) {
            trace("%s announces its exit", incarnation);
            leader.scheduler
                    .incarnationOf(incarnation.worker())
                    .filter(incarnation::equals)
                    .ifPresent(leader.scheduler::workerLeft);
            step(leader);
        }
        later(
                exitMillis,
                () -> whileUp(worker, incarnation, () -> {
                    worker.terminate("exit");
                    restart(worker, random.nextInt(3000));
                }));
    }

    private static void whileUp(ModelWorker worker, WorkerIncarnation incarnation, Runnable action) {
        if (worker.up() && worker.incarnation().equals(incarnation)) {
            action.run();
        }
    }

    private void cut(ModelWorker worker) {
        trace("%s is unreachable", worker.incarnation());
        worker.unreachable(true);
        later(random.nextInt(7000), () -> {
            trace("%s is reachable", worker.incarnation());
            worker.unreachable(false);
        });
    }

    private void cutAnswers(ModelWorker worker) {
        trace("%s gets no answers", worker.incarnation());
        worker.unanswered(true);
        later(random.nextInt(7000), () -> {
            trace("%s gets answers", worker.incarnation());
            worker.unanswered(false);
        });
    }

    /** Runs an action that is part of a disturbance; no quiet begins before. */
    private void later(long delayMillis, Runnable action) {
        pending++;
        at(delayMillis, () -> {
            pending--;
            action.run();
        });
    }

    /** Delivers a report to the acting scheduler, now, late, twice or never, and its answer to the worker. */
    void deliver(WorkerReport report, Consumer<Optional<WorkerInstructions>> worker) {
        if (disturbed && random.nextDouble() < lossShare) {
            return;
        }
        at(messageMillis(3000), () -> receive(report, worker));
        if (disturbed && random.nextDouble() < delayShare / 4) {
            at(messageMillis(3000), () -> receive(report, answer -> {}));
        }
    }

    private long messageMillis(int longest) {
        boolean late = disturbed && random.nextDouble() < delayShare;
        return 1L + random.nextInt(late ? longest : 10);
    }

    private void receive(WorkerReport report, Consumer<Optional<WorkerInstructions>> worker) {
        Consumer<Optional<WorkerInstructions>> reply = answer -> {
            if (!disturbed || random.nextDouble() >= lossShare) {
                at(messageMillis(1500), () -> worker.accept(answer));
            }
        };
        if (!acting(leader)) {
            reply.accept(Optional.empty());
            return;
        }
        Optional<ReportReceipt> receipt = leader.scheduler.receive(report, nanos());
        if (!report.ended().isEmpty()) {
            receipt.ifPresent(received -> lastingWaits.reported(report.ended()));
            step(leader);
        }
        if (receipt.isEmpty()) {
            reply.accept(Optional.empty());
            return;
        }
        Held held = new Held(receipt.get(), reply);
        if (receipt.get().due(nanos()) || leader.scheduler.hasInstructions(receipt.get())) {
            Optional.ofNullable(leader.held.remove(report.incarnation().worker()))
                    .ifPresent(each -> each.reply.accept(Optional.empty()));
            held.answer(leader);
        } else {
            Optional.ofNullable(leader.held.put(report.incarnation().worker(), held))
                    .ifPresent(each -> each.reply.accept(Optional.empty()));
            leader.scheduler.hold(receipt.get());
        }
    }

    // Schedulers

    private boolean acting(Host host) {
        return host == leader && table.epoch() == host.epoch;
    }

    private void changeLeader() {
        leader = leader == hosts.get(0) ? hosts.get(1) : hosts.get(0);
        trace("%s leads", leader.id);
        step(leader);
    }

    private void resign(Host host) {
        trace("%s resigns", host.id);
        host.epoch = NO_EPOCH;
    }

    /** Replaces the table by one that is restored from its snapshot, with which a scheduler takes over. */
    private void restoreTable() {
        trace("the table is restored");
        TableSnapshot.of(table).restore(table);
        hosts.forEach(this::resign);
    }

    private void pollPlan() {
        hosts.forEach(this::step);
        at(POLL_MILLIS, this::pollPlan);
    }

    /** Plans and commits as the leader; takes over first if it does not act. */
    private void step(Host host) {
        if (host != leader || host.committing) {
            return;
        }
        if (table.epoch() != host.epoch) {
            takeOver(host);
            return;
        }
        List<JobTransition> plan = host.scheduler.plan(nanos(), nowMillis);
        if (plan.isEmpty()) {
            return;
        }
        trace("%s plans %s", host.id, plan);
        propose(host, new JobCommand.Advance(host.epoch, plan), index -> answerStarted(host, plan));
    }

    private void takeOver(Host host) {
        propose(host, new JobCommand.Acquire(HostId.of(host.id)), index -> {
            host.epoch = index;
            host.scheduler.takeOver(nanos());
            trace("%s acts from %s", host.id, index);
        });
    }

    /** Applies a command, now, late or never; a host without an answer in time doesn't learn which. */
    private void propose(Host host, JobCommand command, Consumer<Long> applied) {
        host.committing = true;
        boolean answered = !disturbed || random.nextDouble() >= commitTroubleShare;
        if (answered) {
            long delay = 1L + random.nextInt(disturbed && random.nextInt(10) == 0 ? 500 : 30);
            at(delay, () -> {
                long index = ++logIndex;
                boolean current = table.apply(index, command) == JobOutcome.APPLIED;
                if (disturbed && drainChance(0.05)) {
                    drainOrUndrainAny();
                }
                at(random.nextInt(10), () -> {
                    host.committing = false;
                    if (current) {
                        applied.accept(index);
                        step(host);
                    } else {
                        resign(host);
                    }
                });
            });
            return;
        }
        if (random.nextBoolean()) {
            at(random.nextInt(2500), () -> {
                trace("a command of %s is applied unnoticed", host.id);
                table.apply(++logIndex, command);
            });
        }
        at(COMMIT_TIMEOUT_MILLIS, () -> {
            host.committing = false;
            resign(host);
        });
    }

    private void answerStarted(Host host, List<JobTransition> plan) {
        for (JobTransition transition : plan) {
            if (transition instanceof JobTransition.Started started) {
                Optional.ofNullable(host.held.remove(started.worker().worker())).ifPresent(held -> held.answer(host));
            }
        }
    }

    private void answerDue() {
        for (Host host : hosts) {
            List<Held> due = host.held.values().stream()
                    .filter(held -> held.receipt.due(nanos()))
                    .toList();
            host.held.values().removeAll(due);
            due.forEach(held -> held.answer(host));
        }
        at(ANSWER_CHECK_MILLIS, this::answerDue);
    }

    private long nanos() {
        return TimeUnit.MILLISECONDS.toNanos(nowMillis);
    }

    // What workers run

    void starting(ModelWorker worker, ModelRun run) {
        TaskKey task = run.key().task();
        require(
                !drained(worker) || nowMillis - drainedMillis.get(worker.dataCentre()) <= MAX_ANSWER_AGE_MILLIS,
                "%s starts on %s in a drained data centre",
                run.key(),
                worker.incarnation());
        for (ModelWorker other : workers) {
            for (RunKey live : other.running().keySet()) {
                require(
                        !live.task().equals(task),
                        "%s starts on %s beside %s on %s",
                        run.key(),
                        worker.incarnation(),
                        live,
                        other.incarnation());
            }
        }
        for (Completion completion : completions.getOrDefault(task, List.of())) {
            require(!completion.acknowledged, "%s starts after its acknowledged completion", run.key());
            completion.startedAfter = true;
        }
        require(
                run.step().bestEffort()
                        || worker.freeMillicores() >= run.step().need().millicores(),
                "%s exceeds the capacity of %s",
                run.key(),
                worker.incarnation());
        require(
                worker.freeMemory() >= run.step().need().memoryBytes(),
                "%s exceeds the memory of %s",
                run.key(),
                worker.incarnation());
        lastingWaits.started(task);
        JobSubmission submission = table.find(task.job()).orElseThrow().submission();
        require(
                submission.schedule().dueEpochMillis(task.occurrence()) <= nowMillis,
                "%s starts before it is due",
                run.key());
        List<JobStep> steps = submission.steps();
        for (int earlier : run.step().after()) {
            for (int index = 0; index < steps.get(earlier).count(); index++) {
                TaskKey needed = new TaskKey(task.job(), task.occurrence(), earlier, index);
                require(completions.containsKey(needed), "%s starts before %s has completed", run.key(), needed);
            }
        }
    }

    void ended(RunKey run, ReportedEnd how) {
        if (how == ReportedEnd.COMPLETED && !step(run.task()).lasting()) {
            completions.computeIfAbsent(run.task(), key -> new ArrayList<>()).add(new Completion(run));
        }
        recordLastingEnd(run);
        memberGone(run, how != ReportedEnd.COMPLETED);
    }

    /** Records that a completion is acknowledged; that of one member of a gang represents all of them. */
    void completionAcknowledged(RunKey run) {
        JobStep step = step(run.task());
        if (step.lasting()) {
            return;
        }
        if (!step.gang()) {
            recordAcknowledgement(run);
            return;
        }
        TaskKey task = run.task();
        for (int index = 0; index < step.count(); index++) {
            TaskKey member = new TaskKey(task.job(), task.occurrence(), task.step(), index);
            recordAcknowledgement(new RunKey(member, run.attempt()));
        }
    }

    private void recordAcknowledgement(RunKey run) {
        for (Completion completion : completions.get(run.task())) {
            if (completion.run.equals(run)) {
                require(!completion.startedAfter, "%s completed before a later start, and is acknowledged", run);
                completion.acknowledged = true;
            }
        }
    }

    /** Adds a member to its gang, which works once all its members have started. */
    void memberStarted(ModelWorker worker, ModelRun run) {
        GangRun gang = GangRun.of(run.key());
        Map<RunKey, ModelWorker> members = gangs.computeIfAbsent(gang, key -> new LinkedHashMap<>());
        members.put(run.key(), worker);
        if (members.size() == run.step().count()) {
            startGang(members);
            return;
        }
        at(GANG_MILLIS, () -> {
            if (members.containsKey(run.key()) && members.size() < run.step().count()) {
                worker.end(run.key(), ReportedEnd.GANG_INCOMPLETE);
            }
        });
    }

    /** Lets a gang work until all its members complete at once, or the first of them fails. */
    private void startGang(Map<RunKey, ModelWorker> members) {
        long longest = 0;
        for (Map.Entry<RunKey, ModelWorker> member : members.entrySet()) {
            ModelRun run = member.getValue().running().get(member.getKey());
            run.work();
            longest = Math.max(longest, run.remainingMillis());
        }
        int count = members.size();
        JobStep step = step(members.keySet().iterator().next().task());
        Optional<Long> workMillis = step.lasting() ? completesAfter(step) : Optional.of(longest);
        workMillis.ifPresent(millis -> at(millis, () -> {
            if (members.size() == count) {
                new LinkedHashMap<>(members).forEach((run, worker) -> worker.end(run, ReportedEnd.COMPLETED));
            }
        }));
    }

    /** Records that a worker's process has ended, and its runs with it. */
    void terminated(WorkerIncarnation worker, List<RunKey> runs) {
        lastingWaits.gone(worker, nowMillis);
        for (RunKey run : runs) {
            recordLastingEnd(run);
            memberGone(run, true);
        }
    }

    private void recordLastingEnd(RunKey run) {
        if (step(run.task()).lasting()) {
            lastingWaits.ended(run, nowMillis);
        }
    }

    private void memberGone(RunKey run, boolean breaks) {
        Map<RunKey, ModelWorker> members = gangs.get(GangRun.of(run));
        if (members == null || members.remove(run) == null || !breaks) {
            return;
        }
        at(
                GANG_BREAK_MILLIS,
                () -> new LinkedHashMap<>(members)
                        .forEach((member, host) -> host.end(member, ReportedEnd.GANG_BROKEN)));
    }

    // Checks

    private void check() {
        differences.clear();
        long end = nowMillis + CHECKED_MILLIS;
        while (nowMillis < end) {
            Map<String, Long> found = new LinkedHashMap<>();
            findRoomWithoutRuns(found);
            findRunsWithoutRoom(found);
            findWaitingTasks(found);
            findTasksToMove(found);
            requireLastingJobsGoOn();
            differences.keySet().retainAll(found.keySet());
            found.forEach((difference, boundMillis) -> {
                long since = differences.computeIfAbsent(difference, key -> nowMillis);
                require(nowMillis - since < boundMillis, "%s, for %s ms", difference, boundMillis);
            });
            runUntil(nowMillis + SAMPLE_MILLIS);
        }
    }

    /**
     * Cancels all jobs and fills the fleet with lasting tasks, or half of it with a gang, for which a slow worker takes
     * one member. Tasks that failed may restrict workers for longer.
     */
    private void checkAllRoomIsGivenBack() {
        List.copyOf(table.active()).forEach(this::cancel);
        runUntil(nowMillis + MAX_DIFFERENCE_MILLIS);
        if (failureShare > 0) {
            return;
        }
        boolean gang = random.nextBoolean();
        int slots = (int) (ModelWorker.MILLICORES / FILLING_MILLICORES) * workers.size();
        int count = gang ? slots / 2 : slots;
        JobStep filling = gang
                ? JobFixtures.gang(count, FILLING_MILLICORES)
                : JobFixtures.step(count, List.of(), true, false, 100, FILLING_MILLICORES);
        table.apply(++logIndex, JobFixtures.acceptAt("filling", nowMillis, filling));
        long end = nowMillis + MAX_LASTING_WAIT_MILLIS;
        while (nowMillis < end && runningTasks().size() < count) {
            runUntil(nowMillis + SAMPLE_MILLIS);
        }
        int running = runningTasks().size();
        require(running == count, "%s of %s tasks run that fill the fleet: %s", running, count, filling);
    }

    private Set<TaskKey> runningTasks() {
        Set<TaskKey> running = new HashSet<>();
        workers.forEach(worker -> worker.running().keySet().forEach(run -> running.add(run.task())));
        return running;
    }

    private void findRoomWithoutRuns(Map<String, Long> found) {
        int counted = 0;
        for (WorkerIncarnation worker : table.busyWorkers()) {
            Optional<ModelWorker> live = workers.stream()
                    .filter(each -> each.up() && each.incarnation().equals(worker))
                    .findFirst();
            for (RunKey run : table.runsOn(worker)) {
                counted++;
                if (live.isEmpty() || !live.get().lists(run)) {
                    found.put(
                            "room is counted on " + worker + " for " + run + ", which it does not list",
                            MAX_DIFFERENCE_MILLIS);
                }
            }
        }
        int live = table.all().stream().mapToInt(JobRecord::liveRuns).sum();
        require(counted == live, "the workers have %s runs and the jobs %s", counted, live);
    }

    private void findRunsWithoutRoom(Map<String, Long> found) {
        for (ModelWorker worker : workers) {
            for (RunKey run : worker.running().keySet()) {
                if (!table.isLive(worker.incarnation(), run)) {
                    found.put(
                            worker.incarnation() + " runs " + run + ", for which no room is counted",
                            MAX_DIFFERENCE_MILLIS);
                }
                if (table.find(run.task().job())
                        .filter(job -> !job.state().ended())
                        .isEmpty()) {
                    found.put(worker.incarnation() + " runs " + run + ", whose job has ended", MAX_DIFFERENCE_MILLIS);
                }
            }
            for (ModelEnd end : worker.ends()) {
                found.put(
                        worker.incarnation() + " lists the end of " + end.run() + " of " + end.endedMillis(),
                        MAX_DIFFERENCE_MILLIS);
            }
        }
    }

    /** Finds lasting tasks in a drained data centre for which there is capacity twice over elsewhere. */
    private void findTasksToMove(Map<String, Long> found) {
        for (ModelWorker worker : workers) {
            for (ModelRun run : worker.running().values()) {
                JobStep step = run.step();
                if (drained(worker)
                        && step.lasting()
                        && !step.gang()
                        && !step.bestEffort()
                        && hasCapacityFor(run.key().task(), step)) {
                    found.put(run.key() + " stays in a drained data centre", MAX_LASTING_WAIT_MILLIS);
                }
            }
        }
    }

    private void requireLastingJobsGoOn() {
        for (JobRecord job : table.all()) {
            boolean lasts = job.submission().steps().stream().anyMatch(JobStep::lasting);
            require(!lasts || job.state() != JobState.DONE, "%s is done, but has lasting tasks", job.id());
        }
    }

    private void findWaitingTasks(Map<String, Long> found) {
        Set<TaskKey> running = runningTasks();
        for (JobId id : table.active()) {
            JobRecord job = table.find(id).orElseThrow();
            for (int occurrence = 0; occurrence < job.submission().schedule().occurrences(); occurrence++) {
                if (job.submission().schedule().dueEpochMillis(occurrence) <= nowMillis) {
                    findWaitingTasks(job, occurrence, running, found);
                }
            }
        }
    }

    private void findWaitingTasks(JobRecord job, int occurrence, Set<TaskKey> running, Map<String, Long> found) {
        for (int position = 0; position < job.submission().steps().size(); position++) {
            JobStep step = job.submission().steps().get(position);
            TaskKey first = new TaskKey(job.id(), occurrence, position, 0);
            if (job.ready(occurrence, position) && !step.bestEffort() && hasCapacityFor(first, step)) {
                findWaitingTasks(job, occurrence, position, running, found);
            }
        }
    }

    private void findWaitingTasks(
            JobRecord job, int occurrence, int position, Set<TaskKey> running, Map<String, Long> found) {
        JobStep step = job.submission().steps().get(position);
        for (int index = 0; index < step.count(); index++) {
            TaskKey task = new TaskKey(job.id(), occurrence, position, index);
            boolean completed = job.task(task).completed() && !step.lasting();
            if (!completed && !running.contains(task)) {
                long bound = step.lasting() ? MAX_LASTING_WAIT_MILLIS : MAX_WAIT_MILLIS;
                found.put(task + " waits with capacity for it", bound);
            }
        }
    }

    /**
     * Returns whether there is capacity twice over for the tasks of a step, one of which is given; for finite tasks,
     * also whether half of all capacity is free.
     */
    private boolean hasCapacityFor(TaskKey task, JobStep step) {
        long tasks = 0;
        long free = 0;
        long total = 0;
        for (ModelWorker worker : workers) {
            if (drained(worker)) {
                continue;
            }
            if (worker.up()) {
                total += ModelWorker.MILLICORES;
                free += worker.freeMillicores();
            }
            if (worker.up() && !worker.leaving()) {
                tasks += worker.placesFor(task, step);
            }
        }
        boolean twice = tasks >= 2L * (step.gang() ? step.count() : 1);
        return twice && (step.lasting() || 2 * free > total);
    }

    private void require(boolean condition, String message, Object... arguments) {
        if (!condition) {
            throw new AssertionError("at " + nowMillis + ": " + String.format(Locale.ROOT, message, arguments));
        }
    }

    private record Event(long millis, long number, Runnable action) {}

    private record GangRun(JobId job, int occurrence, int step, int attempt) {
        static GangRun of(RunKey run) {
            TaskKey task = run.task();
            return new GangRun(task.job(), task.occurrence(), task.step(), run.attempt());
        }
    }

    private static final class Completion {
        private final RunKey run;
        private boolean acknowledged;
        private boolean startedAfter;

        Completion(RunKey run) {
            this.run = run;
        }
    }

    private final class Host {
        private final String id;
        private JobScheduler scheduler = newScheduler();
        private final Map<WorkerId, Held> held = new LinkedHashMap<>();
        private long epoch = NO_EPOCH;
        private boolean committing;

        Host(String id) {
            this.id = id;
        }

        private JobScheduler newScheduler() {
            return JobScheduler.of(table, TIMES, service -> true, new SilentListener());
        }

        void restart() {
            scheduler = newScheduler();
            epoch = NO_EPOCH;
            held.values().forEach(each -> each.reply.accept(Optional.empty()));
            held.clear();
        }
    }

    private final class Held {
        private final ReportReceipt receipt;
        private final Consumer<Optional<WorkerInstructions>> reply;

        Held(ReportReceipt receipt, Consumer<Optional<WorkerInstructions>> reply) {
            this.receipt = receipt;
            this.reply = reply;
        }

        void answer(Host host) {
            Optional<WorkerInstructions> answer = acting(host) ? host.scheduler.answer(receipt) : Optional.empty();
            answer.ifPresent(this::requireNoStartInADrainedDataCentre);
            reply.accept(answer);
        }

        private void requireNoStartInADrainedDataCentre(WorkerInstructions answer) {
            workers.stream()
                    .filter(worker -> worker.incarnation().equals(receipt.incarnation()) && drained(worker))
                    .forEach(worker -> require(
                            answer.starts().isEmpty(),
                            "the answer to %s of a drained data centre starts %s",
                            worker.incarnation(),
                            answer.starts()));
        }
    }
}
