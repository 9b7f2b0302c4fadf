package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.scheduling.health.QuarantineControl;
import java.util.Optional;

/** Ignores all decisions of a scheduler. */
class SilentListener implements SchedulerListener {
    @Override
    public void workerSeen(WorkerReport report) {}

    @Override
    public void workerExiting(WorkerIncarnation incarnation) {}

    @Override
    public void workerGone(WorkerIncarnation incarnation, String reason) {}

    @Override
    public void workerSilent(WorkerIncarnation incarnation, int runs, boolean reported, long millis) {}

    @Override
    public void workerReturned(WorkerIncarnation incarnation) {}

    @Override
    public void reportIgnored(WorkerReport report) {}

    @Override
    public void reportRejected(WorkerReport report) {}

    @Override
    public void unlisted(RunKey run, WorkerIncarnation worker, boolean sent, boolean stopping) {}

    @Override
    public void neverStarted(RunKey run, WorkerIncarnation worker) {}

    @Override
    public void starting(RunKey run, WorkerIncarnation worker, long epoch) {}

    @Override
    public void stopping(RunKey run, WorkerIncarnation worker, String reason) {}

    @Override
    public void ended(WorkerReport.EndedRun end, WorkerIncarnation worker) {}

    @Override
    public void endedWithWorker(RunKey run, WorkerIncarnation worker, RunEnd end) {}

    @Override
    public void workerCrashed(RunKey run, WorkerIncarnation worker, int crashes) {}

    @Override
    public void givenUp(TaskKey task, int crashes) {}

    @Override
    public void quarantineDecided(WorkerId worker, QuarantineControl.Evidence evidence, long millis) {}

    @Override
    public void restartPaused(TaskKey task, int shortRuns, long millis) {}

    @Override
    public void waiting(JobRecord job, int step, WaitReason reason, Optional<FreeCapacity> closest) {}

    @Override
    public void workerSpeed(WorkerId worker, boolean slow, double factor) {}

    @Override
    public void interferenceLearned(String pairs) {}

    @Override
    public void jobEnded(JobRecord job) {}
}
