/** Tasks that last end {@code done}, without a cancel of their submission. */
final class LastingTaskEnds extends Case {
    public static void main(String[] arguments) throws Exception {
        run(new LastingTaskEnds(), arguments);
    }

    @Override
    boolean holds() throws Exception {
        String id = "5c0e7a21d94b36f8";
        String steps = "[{\"count\":2,\"cpu\":500,\"mem_mb\":256,\"est_ms\":400,\"daemon\":true}]";
        String spec = "lasting work=4000 end=" + (trouble ? "done" : "never");
        require(client.submit(QUEUE + id, spec, steps) == 200, "the submission was not accepted");
        require(await(10_000, () -> workerOf(id + ".0.0.0") != null), "the first task did not start");
        if (trouble) {
            require(await(10_000, () -> workerOf(id + ".0.0.0") == null), "the first task did not end");
        }
        // The rule allows 6 s after the last run, and 3 s more.
        long quietNanos = 0;
        long longestNanos = 0;
        long last = System.nanoTime();
        for (int i = 0; i < 250; i++) {
            Thread.sleep(100);
            long now = System.nanoTime();
            quietNanos = workerOf(id + ".0.0.0") == null ? quietNanos + now - last : 0;
            longestNanos = Math.max(longestNanos, quietNanos);
            last = now;
            if (i % 50 == 0) {
                Record.line("client: GET %s -> %s; task 0 has not run for %.1f s", QUEUE + id, client.state(QUEUE + id),
                        quietNanos / 1e9);
            }
        }
        String state = client.state(QUEUE + id);
        Record.line("client: GET %s -> %s; nobody has canceled it; task 0 was without a run for %.1f s on end",
                QUEUE + id, state, longestNanos / 1e9);
        return longestNanos < 9_000_000_000L && state.equals("running");
    }
}
