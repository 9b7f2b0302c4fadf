import java.util.ArrayList;
import java.util.List;

/** One of twenty submissions can never be done: a gang that needs more than all workers have. Others come after it. */
final class WideGang implements Case.Scenario {
    /** The submissions of the queue with priority 0, of which one can never be done: the users' share of 0.05. */
    private static final int FIRST_JOBS = 20;

    private static final int SMALL_JOBS = 6;

    @Override
    public boolean isBroken(Fleet fleet, Runs runs, boolean trouble) throws Exception {
        Gangs gangs = new Gangs();
        for (int i = 1; i <= 3; i++) {
            new Worker("i-" + i, fleet.address(100 + i) + ":8080", 16_000, fleet, runs, gangs).start();
        }
        Thread.sleep(3000);
        for (int i = 0; i < FIRST_JOBS; i++) {
            String job = String.format("0000000000000a%02d", i);
            if (trouble && i == FIRST_JOBS / 2) {
                fleet.submit("q0", job, "{\"spec\":\"work_ms=2000;cpu=2000;gang=25\",\"steps\":[{\"count\":25,"
                        + "\"cpu\":2000,\"mem_mb\":1000,\"est_ms\":2000,\"gang\":true}]}");
            } else {
                fleet.submit("q0", job, "{\"spec\":\"work_ms=500;cpu=2000\",\"steps\":[{\"count\":1,\"cpu\":2000,"
                        + "\"mem_mb\":1000,\"est_ms\":500}]}");
            }
            Thread.sleep(100);
        }
        List<String> jobs = new ArrayList<>();
        for (int i = 1; i <= SMALL_JOBS; i++) {
            String job = "00000000000000b" + i;
            jobs.add(job);
            fleet.submit("q1", job, "{\"spec\":\"work_ms=800;cpu=2000\",\"steps\":[{\"count\":2,\"cpu\":2000,"
                    + "\"mem_mb\":1000,\"est_ms\":800}]}");
            Thread.sleep(500);
        }
        fleet.recorder.write("client: end of the traffic");
        Thread.sleep(Bounds.FINISH_S * 1000L);
        return Idle.forThreeSeconds(fleet, runs, "q1", jobs);
    }
}
