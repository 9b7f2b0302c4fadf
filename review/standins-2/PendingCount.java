import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A worker is lost for good; submissions that come just after that have not begun, and the count leaves them out. */
final class PendingCount extends Case {
    private static final int SUBMISSIONS = 3;

    public static void main(String[] arguments) throws Exception {
        run(new PendingCount(), arguments);
    }

    @Override
    boolean holds() throws Exception {
        // A large task on each of seven workers; the eighth has the most room.
        String load = "[{\"count\":7,\"cpu\":10000,\"mem_mb\":4096,\"est_ms\":400,\"max_per_server\":1,\"daemon\":true}]";
        String before = "1f00aa34b6c97d20";
        require(client.submit(QUEUE + before, "lasting work=400 end=never", load) == 200, "no load");
        require(await(10_000, () -> running(before, 7) == 7), "the load did not start");
        Thread.sleep(3000);
        Worker idle = workers.stream().filter(Worker::idle).findFirst().orElseThrow();
        if (trouble) {
            idle.crash();
        }
        Thread.sleep(200);
        List<String> sent = new ArrayList<>();
        for (int i = 0; i < SUBMISSIONS; i++) {
            String id = String.format(Locale.ROOT, "5c0e7a21d94b36%02x", i);
            String steps = "[{\"count\":1,\"cpu\":1100,\"mem_mb\":2200,\"est_ms\":20000}]";
            require(client.submit(QUEUE + id, "work=20000 end=done", steps) == 200, "not accepted");
            sent.add(id);
        }
        boolean held = true;
        for (int second = 1; second <= 9; second++) {
            Thread.sleep(1000);
            long waiting = sent.stream().filter(id -> !Worker.hasStarted(id + ".0.0.0")).count();
            long pending = client.pending(QUEUE);
            long stillWaiting = sent.stream().filter(id -> !Worker.hasStarted(id + ".0.0.0")).count();
            Record.line(
                    "%d s after the last ack: %d of %d submissions have not begun, GET %s -> pending %d",
                    second, stillWaiting, SUBMISSIONS, QUEUE, pending);
            // The rule: accepted over visible_ms (3 s) and 2 s before, and under half of those that haven't begun.
            held &= second <= 5 || pending < 0 || Math.min(waiting, stillWaiting) <= 2 * pending;
        }
        return held;
    }

    private int running(String id, int tasks) {
        int running = 0;
        for (int task = 0; task < tasks; task++) {
            running += workerOf(id + ".0.0." + task) == null ? 0 : 1;
        }
        return running;
    }
}
