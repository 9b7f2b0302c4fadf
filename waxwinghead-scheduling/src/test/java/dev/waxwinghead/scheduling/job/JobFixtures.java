package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.JobClassName;
import dev.waxwinghead.model.id.JobId;
import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.resource.Resources;
import java.util.List;
import java.util.Set;

/** Creates jobs, runs and worker reports for tests. */
final class JobFixtures {
    static final JobTerms TERMS = new JobTerms(JobClassName.of("quotes"), ServiceName.of("orders"), 0, 3, 1.5, 1000);

    private JobFixtures() {}

    static JobStep step(int count, List<Integer> after) {
        return step(count, after, false, false, 0);
    }

    static JobStep step(int count, List<Integer> after, boolean lasting, boolean bestEffort, long targetMillis) {
        return step(count, after, lasting, bestEffort, targetMillis, 1000);
    }

    static JobStep step(
            int count, List<Integer> after, boolean lasting, boolean bestEffort, long targetMillis, long millicores) {
        return step(count, Resources.of(millicores, 1000, 0), after, lasting, bestEffort, targetMillis);
    }

    static JobStep lasting(Resources need) {
        return step(1, need, List.of(), true, false, 100);
    }

    static JobStep finite(int count, Resources need) {
        return step(count, need, List.of(), false, false, 0);
    }

    static JobStep bestEffort(Resources need) {
        return step(1, need, List.of(), false, true, 0);
    }

    private static JobStep step(
            int count, Resources need, List<Integer> after, boolean lasting, boolean bestEffort, long targetMillis) {
        return new JobStep(
                count,
                need,
                1000,
                after,
                true,
                false,
                false,
                "",
                "",
                0,
                false,
                lasting,
                lasting ? "serving" : "batch",
                targetMillis,
                bestEffort,
                0);
    }

    static JobStep gang(int count, long millicores) {
        return gang(count, millicores, false);
    }

    static JobStep lastingGang(int count, long millicores) {
        return gang(count, millicores, true);
    }

    private static JobStep gang(int count, long millicores, boolean lasting) {
        return new JobStep(
                count,
                Resources.of(millicores, 1000, 0),
                1000,
                List.of(),
                true,
                true,
                false,
                "",
                "",
                0,
                false,
                lasting,
                "batch",
                0,
                false,
                0);
    }

    static JobCommand.Accept accept(String id, JobStep... steps) {
        return acceptAt(id, 0, steps);
    }

    static JobCommand.Accept acceptAt(String id, long epochMillis, JobStep... steps) {
        return new JobCommand.Accept(
                new JobSubmission(JobId.of(id), "payload-" + id, List.of(steps), JobSchedule.ONCE), TERMS, epochMillis);
    }

    static RunKey run(String job, int step, int index, int attempt) {
        return new RunKey(new TaskKey(JobId.of(job), 0, step, index), attempt);
    }

    static WorkerIncarnation incarnation(String worker, long started) {
        return new WorkerIncarnation(WorkerId.of(worker), started);
    }

    static WorkerReport report(
            WorkerIncarnation incarnation,
            long sequence,
            List<WorkerReport.RunningTask> running,
            List<WorkerReport.EndedRun> ended) {
        return report(
                incarnation,
                sequence,
                "10.0.0.1:80" + incarnation.worker().value().length(),
                false,
                running,
                ended);
    }

    static WorkerReport report(
            WorkerIncarnation incarnation,
            long sequence,
            String address,
            boolean leaving,
            List<WorkerReport.RunningTask> running,
            List<WorkerReport.EndedRun> ended) {
        return report(incarnation, sequence, address, Resources.of(4000, 100_000, 0), leaving, running, ended);
    }

    static WorkerReport report(
            WorkerIncarnation incarnation,
            long sequence,
            Resources capacity,
            List<WorkerReport.RunningTask> running,
            List<WorkerReport.EndedRun> ended) {
        return report(incarnation, sequence, "10.0.0.1:802", capacity, false, running, ended);
    }

    static WorkerReport report(
            WorkerIncarnation incarnation,
            long sequence,
            String address,
            Resources capacity,
            boolean leaving,
            List<WorkerReport.RunningTask> running,
            List<WorkerReport.EndedRun> ended) {
        return new WorkerReport(
                incarnation,
                sequence,
                ServiceName.of("orders"),
                address,
                capacity,
                Set.of("a", "rack-1"),
                "rack-1",
                leaving,
                2000,
                running,
                ended);
    }
}
