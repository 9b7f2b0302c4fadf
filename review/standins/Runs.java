import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** All runs that the workers have begun, as the workers saw them. */
final class Runs {
    private final Recorder recorder;
    private final List<Run> runs = new ArrayList<>();

    Runs(Recorder recorder) {
        this.recorder = recorder;
    }

    synchronized Run begin(String task, int attempt, String worker, Spec spec, String checkpoint) {
        Run run = new Run(task, attempt, worker, spec, checkpoint, System.nanoTime());
        runs.add(run);
        recorder.write("worker %s: begins %s run %d, checkpoint '%s'", worker, task, attempt, checkpoint);
        return run;
    }

    synchronized void end(Run run, String how, String saved) {
        run.endNanos = System.nanoTime();
        run.how = how;
        recorder.write("worker %s: %s run %d ends '%s', checkpoint '%s'", run.worker, run.task, run.attempt, how, saved);
    }

    synchronized List<Run> all() {
        return new ArrayList<>(runs);
    }

    /** Returns the live run of the job that began last, if there is one. */
    synchronized Optional<Run> live(String job) {
        return runs.stream()
                .filter(run -> run.task.startsWith(job + ".") && run.how == null)
                .reduce((first, second) -> second);
    }

    /** Returns what the live runs of all workers request. */
    synchronized int usedMillicores() {
        return runs.stream().filter(run -> run.how == null).mapToInt(run -> run.spec.cpu()).sum();
    }

    synchronized long ended(String job, String how) {
        return runs.stream().filter(run -> run.task.startsWith(job + ".") && how.equals(run.how)).count();
    }

    /** Returns the longest time for which two runs of one task overlapped, in milliseconds, and records each overlap. */
    synchronized long longestOverlapMillis() {
        long now = System.nanoTime();
        long longest = 0;
        for (int i = 0; i < runs.size(); i++) {
            for (int j = i + 1; j < runs.size(); j++) {
                Run first = runs.get(i);
                Run second = runs.get(j);
                long begin = Math.max(first.beginNanos, second.beginNanos);
                long end = Math.min(first.end(now), second.end(now));
                if (first.task.equals(second.task) && end > begin) {
                    long millis = (end - begin) / 1_000_000;
                    recorder.write("check: runs %d and %d of %s overlapped for %d ms, on %s and %s",
                            first.attempt, second.attempt, first.task, millis, first.worker, second.worker);
                    longest = Math.max(longest, millis);
                }
            }
        }
        return longest;
    }

    /** A run on a worker. */
    static final class Run {
        final String task;
        final int attempt;
        final String worker;
        final Spec spec;
        final String checkpoint;
        final long beginNanos;
        long endNanos;
        String how;

        Run(String task, int attempt, String worker, Spec spec, String checkpoint, long beginNanos) {
            this.task = task;
            this.attempt = attempt;
            this.worker = worker;
            this.spec = spec;
            this.checkpoint = checkpoint;
            this.beginNanos = beginNanos;
        }

        /** Returns the work that the checkpoint stands for, in milliseconds. */
        long startMillis() {
            return checkpoint.isEmpty() ? 0 : Long.parseLong(checkpoint.substring(1));
        }

        private long end(long now) {
            return how == null ? now : endNanos;
        }
    }
}
