/** One of two tasks that last fails soon after each start; later the worker of the other one leaves. */
final class FailingTask extends Case {
    /** The rule allows 6 s after the last run, and 3 s more. */
    private static final long LOST_MILLIS = 9_000;
    private static final long FAILING_NANOS = 26_000_000_000L;
    private static final long PAUSE_NANOS = 2_000_000_000L;

    public static void main(String[] arguments) throws Exception {
        run(new FailingTask(), arguments);
    }

    @Override
    boolean holds() throws Exception {
        String id = "5c0e7a21d94b36f8";
        String sound = id + ".0.0.0";
        String failing = id + ".0.0.1";
        String steps = "[{\"count\":2,\"cpu\":3200,\"mem_mb\":6400,\"est_ms\":400,\"daemon\":true,\"max_per_server\":1}]";
        String spec = "lasting work=400 end=never" + (trouble ? " failing=.0.0.1" : "");
        require(client.submit(QUEUE + id, spec, steps) == 200, "the submission was not accepted");
        require(await(10_000, () -> workerOf(sound) != null), "the sound task did not start");
        waitForPause(failing);
        workerOf(sound).leave(4000);
        long longest = 0;
        long quiet = 0;
        long last = System.nanoTime();
        for (int i = 0; i < 300; i++) {
            Thread.sleep(100);
            long now = System.nanoTime();
            quiet = workerOf(sound) == null ? quiet + now - last : 0;
            longest = Math.max(longest, quiet);
            last = now;
        }
        Record.line("the sound task had no run for %.1f s on end, beside seven sound workers that run nothing else", longest / 1e9);
        return longest / 1_000_000 < LOST_MILLIS;
    }

    /** Waits until the failing task has been failing for some time and has not been started for two seconds. */
    private static void waitForPause(String failing) throws InterruptedException {
        long start = System.nanoTime();
        long lastChange = start;
        String latest = "";
        long now = start;
        while (now - start < FAILING_NANOS || now - lastChange < PAUSE_NANOS) {
            Thread.sleep(20);
            now = System.nanoTime();
            if (!Worker.lastStart(failing).equals(latest)) {
                latest = Worker.lastStart(failing);
                lastChange = now;
            }
        }
        Record.line("the latest start of the failing task: %s", latest);
    }
}
