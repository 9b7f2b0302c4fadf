import java.util.ArrayList;
import java.util.List;

/** A worker that drains is cut off as it sends that it leaves: it gets no acknowledgement and runs on for some seconds. */
final class LeaveUnacknowledged implements Case.Scenario {
    private static final String JOB = "00000000000000c1";
    private static final int EXITS_ANYWAY_MS = 4_000;

    @Override
    public boolean isBroken(Fleet fleet, Runs runs, boolean trouble) throws Exception {
        Gangs gangs = new Gangs();
        List<Worker> workers = new ArrayList<>();
        for (int i = 1; i <= 6; i++) {
            workers.add(new Worker("i-" + i, fleet.address(100 + i) + ":8080", 16_000, fleet, runs, gangs).start());
        }
        Thread.sleep(3000);
        fleet.submit("q0", JOB, "{\"spec\":\"work_ms=14000;cpu=4000\",\"steps\":[{\"count\":12,\"cpu\":4000,"
                + "\"mem_mb\":1000,\"est_ms\":14000}]}");
        Thread.sleep(2000);
        Worker leaving = workers.get(0);
        leaving.drain();
        Thread.sleep(Bounds.DRAIN_MS + 500);
        if (trouble) {
            leaving.link().cutToWorker();
            fleet.recorder.write("link of worker %s: nothing reaches it any more", leaving.id);
        }
        leaving.leave(EXITS_ANYWAY_MS);
        Thread.sleep(20_000);
        fleet.recorder.write("client: submission is %s", fleet.state("q0", JOB));
        return runs.longestOverlapMillis() > 0;
    }
}
