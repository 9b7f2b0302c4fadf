package dev.waxwinghead.scheduling.job;

/** Ignores all decisions of a scheduler. */
enum SilentListener implements SchedulerListener {
    INSTANCE;

    @Override
    public void workerSeen(WorkerReport report) {}

    @Override
    public void workerGone(WorkerIncarnation incarnation, String reason) {}

    @Override
    public void reportIgnored(WorkerReport report) {}

    @Override
    public void starting(RunKey run, WorkerIncarnation worker, long epoch) {}

    @Override
    public void stopping(RunKey run, WorkerIncarnation worker, String reason) {}

    @Override
    public void ended(WorkerReport.EndedRun end, WorkerIncarnation worker) {}

    @Override
    public void waiting(JobRecord job, int step, WaitReason reason) {}

    @Override
    public void interferenceLearned(String pairs) {}

    @Override
    public void jobEnded(JobRecord job) {}
}
