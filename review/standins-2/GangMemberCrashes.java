/** A worker crashes after the gang that it ran a member of has ended {@code done}, before it could report the end. */
final class GangMemberCrashes extends Case {
    public static void main(String[] arguments) throws Exception {
        run(new GangMemberCrashes(), arguments);
    }

    @Override
    boolean holds() throws Exception {
        String id = "5c0e7a21d94b36f8";
        String first = id + ".0.0.0";
        String second = id + ".0.0.1";
        String steps = "[{\"count\":2,\"cpu\":1800,\"mem_mb\":3200,\"est_ms\":3000,\"gang\":true,\"max_per_server\":1}]";
        require(client.submit(QUEUE + id, "work=3000 gang=2", steps) == 200, "the submission was not accepted");
        require(await(10_000, () -> workerOf(first) != null && workerOf(second) != null), "the gang did not start");
        Worker crashing = workerOf(first);
        Worker late = workerOf(second);
        Thread.sleep(2400);
        // Both workers' status reports are late when the gang ends.
        crashing.holdReports(2500);
        late.holdReports(4500);
        require(await(5_000, () -> gangs.done(first, 1)), "the gang did not end");
        Record.line("run 1 of the gang has ended done");
        if (trouble) {
            Thread.sleep(300);
            crashing.crash();
            Thread.sleep(1000);
            crashing.restart();
        }
        String[] state = {""};
        await(40_000, () -> {
            state[0] = client.state(QUEUE + id);
            return state[0].equals("done") || state[0].equals("failed");
        });
        Record.line("client: GET %s -> %s", QUEUE + id, state[0]);
        return state[0].equals("done");
    }
}
