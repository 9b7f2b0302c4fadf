package dev.waxwinghead.scheduling.job;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.JobId;
import dev.waxwinghead.scheduling.job.WorkerReport.EndedRun;
import dev.waxwinghead.scheduling.job.WorkerReport.ReportedEnd;
import dev.waxwinghead.scheduling.job.WorkerReport.RunningTask;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against members of a gang that are started from different checkpoints. */
class GangCheckpointTests {
    private static final int MEMBERS = 4;
    private static final SchedulerTimes TIMES = new SchedulerTimes(
            Duration.ofSeconds(6), Duration.ofSeconds(1), Duration.ofSeconds(120), Duration.ofMillis(20));

    private final JobTable table = JobTable.create();
    private final List<WorkerIncarnation> workers = new ArrayList<>();
    private final Map<Integer, Set<String>> startsByAttempt = new HashMap<>();
    private JobScheduler scheduler = newScheduler();
    private long index;
    private long now = TimeUnit.SECONDS.toNanos(1000);
    private long sequence;
    private int incarnations;

    @BeforeEach
    void startGang() {
        takeOver();
        for (int i = 0; i < MEMBERS; i++) {
            workers.add(newIncarnation());
        }
        table.apply(++index, JobFixtures.accept("g1", JobFixtures.gang(MEMBERS, 3000)));
        reportAll();
        commit();
    }

    @Test
    void resumesFromTheEndsOfTheOthersIfAWorkerWasCutOffAndCrashed() {
        list(0, "w2500", 30);
        replace(0);
        endOthers(0, ReportedEnd.GANG_BROKEN, "w5500");
        commit();
        assertThat(nextStarts()).containsExactly("w5500");
    }

    @Test
    void resumesFromTheEndsOfTheOthersIfTheLossIsCommittedFirst() {
        list(0, "w2500", 30);
        replace(0);
        commit();
        endOthers(0, ReportedEnd.GANG_BROKEN, "w5500");
        commit();
        assertThat(nextStarts()).containsExactly("w5500");
    }

    @Test
    void resumesFromTheEndsOfTheOthersIfTheLossIsCommittedLast() {
        list(0, "w2500", 30);
        endOthers(0, ReportedEnd.GANG_BROKEN, "w5500");
        commit();
        replace(0);
        commit();
        assertThat(nextStarts()).containsExactly("w5500");
    }

    @Test
    void resumesFromTheCheckpointOfAStopThatIsCommittedFirst() {
        end(0, ReportedEnd.STOPPED, "w5800");
        commit();
        endOthers(0, ReportedEnd.GANG_BROKEN, "w5500");
        commit();
        assertThat(nextStarts()).containsExactly("w5800");
    }

    @Test
    void resumesFromTheCheckpointOfAStopThatIsCommittedLast() {
        endOthers(0, ReportedEnd.GANG_BROKEN, "w5500");
        commit();
        end(0, ReportedEnd.STOPPED, "w5800");
        commit();
        assertThat(nextStarts()).containsExactly("w5800");
    }

    @Test
    void resumesFromTheFurthestListingIfAllWorkersAreLostAndThatOneFirst() {
        list(1, "w4000", 50);
        commit();
        assertThat(lossesOf(1, 0)).containsExactly("w4000");
    }

    @Test
    void resumesFromTheFurthestListingIfAllWorkersAreLostAndThatOneLast() {
        list(1, "w4000", 50);
        commit();
        assertThat(lossesOf(0, 1)).containsExactly("w4000");
    }

    @Test
    void resumesFromTheLatestAttemptThatSavedACheckpoint() {
        end(0, ReportedEnd.STOPPED, "w5800");
        endOthers(0, ReportedEnd.GANG_BROKEN, "w5500");
        commit();
        nextStarts();
        endOthers(0, ReportedEnd.GANG_BROKEN, "w7000");
        replace(0);
        commit();
        assertThat(nextStarts()).containsExactly("w7000");
    }

    @Test
    void keepsTheCheckpointThroughAnAttemptThatSavesNone() {
        endOthers(0, ReportedEnd.GANG_BROKEN, "w5500");
        replace(0);
        commit();
        nextStarts();
        endOthers(0, ReportedEnd.GANG_INCOMPLETE, "");
        end(0, ReportedEnd.REFUSED, "");
        commit();
        assertThat(nextStarts()).containsExactly("w5500");
    }

    @Test
    void repeatsAStartWithTheSameCheckpointAfterAnotherMemberHasSavedANewOne() {
        endOthers(0, ReportedEnd.GANG_BROKEN, "w5500");
        replace(0);
        commit();
        nextStarts();
        end(0, ReportedEnd.STOPPED, "w6100");
        commit();
        report(1);
        assertThat(startsByAttempt.get(2)).containsExactly("w5500");
    }

    @Test
    void repeatsAStartWithTheSameCheckpointAfterAChangeOfTheScheduler() {
        endOthers(0, ReportedEnd.GANG_BROKEN, "w5500");
        replace(0);
        commit();
        reportAll();
        commit();
        report(0);
        takeOver();
        end(0, ReportedEnd.STOPPED, "w6100");
        commit();
        report(1);
        assertThat(startsByAttempt.get(2)).containsExactly("w5500");
    }

    @Test
    void resumesFromTheEndsOfTheOthersIfTheSchedulerChangesBeforeTheLoss() {
        list(0, "w2500", 30);
        end(1, ReportedEnd.STOPPED, "w5800");
        commit();
        takeOver();
        end(2, ReportedEnd.GANG_BROKEN, "w5500");
        end(3, ReportedEnd.GANG_BROKEN, "w5500");
        commit();
        now += TimeUnit.SECONDS.toNanos(8);
        replace(0);
        commit();
        assertThat(nextStarts()).containsExactly("w5800");
    }

    /** Loses all workers one after the other, in two commits; all but one had listed an earlier checkpoint. */
    private Set<String> lossesOf(int first, int second) {
        for (int worker : List.of(0, 2, 3)) {
            list(worker, "w2500", 30);
        }
        replace(first);
        commit();
        replace(second);
        replace(2);
        replace(3);
        commit();
        return nextStarts();
    }

    /** Starts the next attempt and returns the checkpoints that the workers are sent with it. */
    private Set<String> nextStarts() {
        startsByAttempt.clear();
        reportAll();
        commit();
        reportAll();
        assertThat(startsByAttempt).hasSize(1);
        return startsByAttempt.values().iterator().next();
    }

    private JobScheduler newScheduler() {
        return JobScheduler.of(table, TIMES, service -> true, new SilentListener());
    }

    private void takeOver() {
        scheduler = newScheduler();
        table.apply(++index, new JobCommand.Acquire(HostId.of("h" + index)));
        scheduler.takeOver(now);
    }

    private WorkerIncarnation newIncarnation() {
        incarnations++;
        return JobFixtures.incarnation("w" + incarnations, incarnations);
    }

    /** Lets a worker crash and start again under another id. */
    private void replace(int worker) {
        workers.set(worker, newIncarnation());
        report(worker);
    }

    private void list(int worker, String checkpoint, int percent) {
        report(worker, List.of(new RunningTask(runOn(worker), checkpoint, percent, 0)), List.of());
    }

    private void endOthers(int worker, ReportedEnd how, String checkpoint) {
        for (int other = 0; other < MEMBERS; other++) {
            if (other != worker) {
                end(other, how, checkpoint);
            }
        }
    }

    private void end(int worker, ReportedEnd how, String checkpoint) {
        report(worker, List.of(), List.of(new EndedRun(++sequence, runOn(worker), how, checkpoint)));
    }

    private RunKey runOn(int worker) {
        return table.runsOn(workers.get(worker)).iterator().next();
    }

    private void reportAll() {
        for (int worker = 0; worker < MEMBERS; worker++) {
            report(worker);
        }
    }

    private void report(int worker) {
        report(worker, List.of(), List.of());
    }

    private void report(int worker, List<RunningTask> running, List<EndedRun> ended) {
        WorkerReport report = JobFixtures.report(
                workers.get(worker), ++sequence, "10.0.0." + worker + ":8080", false, running, ended);
        for (WorkerInstructions.Start start :
                scheduler.report(report, now).orElseThrow().starts()) {
            startsByAttempt
                    .computeIfAbsent(start.run().attempt(), attempt -> new HashSet<>())
                    .add(start.checkpoint());
        }
    }

    private void commit() {
        now += TimeUnit.MILLISECONDS.toNanos(800);
        List<JobTransition> plan = scheduler.plan(now, 0);
        table.apply(++index, new JobCommand.Advance(table.epoch(), plan));
        assertThat(table.find(JobId.of("g1")).orElseThrow().state()).isEqualTo(JobState.RUNNING);
    }
}
