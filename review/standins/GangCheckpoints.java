import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A worker with a member of a gang that saves checkpoints is cut off, crashes behind the cut and starts again. The next
 * run of the gang must start from one checkpoint.
 */
final class GangCheckpoints implements Case.Scenario {
    private static final String JOB = "00000000000000e1";
    private static final int CUT_MS = 3_000;

    @Override
    public boolean isBroken(Fleet fleet, Runs runs, boolean trouble) throws Exception {
        Gangs gangs = new Gangs();
        List<Worker> workers = new ArrayList<>();
        for (int i = 1; i <= 8; i++) {
            workers.add(new Worker("i-" + i, fleet.address(100 + i) + ":8080", 16_000, fleet, runs, gangs).start());
        }
        Thread.sleep(3000);
        fleet.submit("q0", JOB, "{\"spec\":\"work_ms=8000;cpu=6000;gang=4;checkpoints=1\",\"steps\":[{\"count\":4,"
                + "\"cpu\":6000,\"mem_mb\":1000,\"est_ms\":8000,\"gang\":true,\"checkpointing\":true}]}");
        Thread.sleep(3000);
        if (trouble) {
            String crashing = runs.live(JOB).orElseThrow().worker;
            for (Worker worker : workers) {
                if (worker.id.equals(crashing)) {
                    worker.link().cut();
                    fleet.recorder.write("link of worker %s: cut", worker.id);
                    Thread.sleep(CUT_MS);
                    worker.crash();
                    Thread.sleep(1000);
                    new Worker("i-90", worker.address, 16_000, fleet, runs, gangs).start();
                }
            }
        }
        Thread.sleep(18_000);
        fleet.recorder.write("client: submission is %s", fleet.state("q0", JOB));
        Map<Integer, Set<String>> checkpoints = new HashMap<>();
        runs.all().forEach(run -> checkpoints.computeIfAbsent(run.attempt, key -> new HashSet<>()).add(run.checkpoint));
        checkpoints.forEach((attempt, values) -> fleet.recorder.write("check: run %d of the gang was started with the checkpoints %s", attempt, values));
        return checkpoints.values().stream().anyMatch(values -> values.size() > 1);
    }
}
