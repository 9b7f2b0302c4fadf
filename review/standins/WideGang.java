import java.util.ArrayList;
import java.util.List;

/** A submission that can never be done, a gang that needs more than all workers have, is handed in before others. */
final class WideGang implements Case.Scenario {
    private static final int SMALL_JOBS = 6;

    @Override
    public boolean isBroken(Fleet fleet, Runs runs, boolean trouble) throws Exception {
        Gangs gangs = new Gangs();
        for (int i = 1; i <= 6; i++) {
            new Worker("i-" + i, fleet.address(100 + i) + ":8080", 16_000, fleet, runs, gangs).start();
        }
        Thread.sleep(3000);
        if (trouble) {
            fleet.submit("q0", "00000000000000b0", "{\"spec\":\"work_ms=2000;cpu=8000;gang=13\",\"steps\":[{\"count\":13,"
                    + "\"cpu\":8000,\"mem_mb\":1000,\"est_ms\":2000,\"gang\":true}]}");
        }
        List<String> jobs = new ArrayList<>();
        for (int i = 1; i <= SMALL_JOBS; i++) {
            String job = "00000000000000b" + i;
            jobs.add(job);
            fleet.submit("q1", job, "{\"spec\":\"work_ms=800;cpu=1000\",\"steps\":[{\"count\":2,\"cpu\":1000,"
                    + "\"mem_mb\":1000,\"est_ms\":800}]}");
            Thread.sleep(500);
        }
        fleet.recorder.write("client: end of the traffic");
        Thread.sleep(Bounds.FINISH_S * 1000L);
        return Idle.forThreeSeconds(fleet, runs, "q1", jobs);
    }
}
