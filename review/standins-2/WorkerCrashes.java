/** One worker of eight crashes three times within seconds and starts again each time under its id. */
final class WorkerCrashes extends Case {
    private static final int CRASHES = 3;
    private static final long UP_MILLIS = 1500;
    private static final long DOWN_MILLIS = 1000;

    public static void main(String[] arguments) throws Exception {
        run(new WorkerCrashes(), arguments);
    }

    @Override
    boolean holds() throws Exception {
        // Loads each worker to five eighths, so that one that comes back empty has the most room.
        String load = "[{\"count\":16,\"cpu\":5000,\"mem_mb\":4096,\"est_ms\":100000,\"max_per_server\":2}]";
        require(client.submit(QUEUE + "1f00aa34b6c97d20", "work=100000 end=done", load) == 200, "no load");
        require(await(10_000, () -> runningTasks("1f00aa34b6c97d20") == 16), "the load did not start");
        Thread.sleep(3000);
        String steps = "[{\"count\":1,\"cpu\":1800,\"mem_mb\":3200,\"est_ms\":2700}]";
        return submitAndCrash("5c0e7a21d94b36f8", "work=2700 end=done", steps).equals("done");
    }

    private int runningTasks(String id) {
        int running = 0;
        for (int task = 0; task < 16; task++) {
            running += workerOf(id + ".0.0." + task) == null ? 0 : 1;
        }
        return running;
    }

    /** Returns the state once the submission has ended, or after all is calm again. */
    private String submitAndCrash(String id, String spec, String steps) throws Exception {
        String task = id + ".0.0.0";
        require(client.submit(QUEUE + id, spec, steps) == 200, "the submission was not accepted");
        require(await(15_000, () -> workerOf(task) != null), "the task did not start");
        Worker crashing = workerOf(task);
        for (int crash = 0; trouble && crash < CRASHES; crash++) {
            Thread.sleep(UP_MILLIS);
            crashing.crash();
            Thread.sleep(DOWN_MILLIS);
            crashing.restart();
        }
        String[] state = {""};
        await(16_000, () -> {
            state[0] = client.state(QUEUE + id);
            return state[0].equals("done") || state[0].equals("failed");
        });
        Record.line("client: GET %s -> %s; no run of its task has ended failed", QUEUE + id, state[0]);
        return state[0];
    }
}
