import java.util.ArrayList;
import java.util.List;

/** The check of the rule LOST after the end of the traffic, while no capacity of the service is in use. */
final class Idle {
    private Idle() {}

    /** Returns whether a submission has nothing running for 3 s, is not done, and all workers are idle. */
    static boolean forThreeSeconds(Fleet fleet, Runs runs, String queue, List<String> jobs) throws Exception {
        List<String> idle = new ArrayList<>(jobs);
        int mostUsed = 0;
        for (int look = 0; look <= 6; look++) {
            for (String job : List.copyOf(idle)) {
                String state = fleet.state(queue, job);
                boolean runsNow = runs.live(job).isPresent();
                fleet.recorder.write("client: submission %s is %s, %s", job, state, runsNow ? "running" : "nothing of it runs");
                if (runsNow || !(state.equals("queued") || state.equals("running"))) {
                    idle.remove(job);
                }
            }
            mostUsed = Math.max(mostUsed, runs.usedMillicores());
            Thread.sleep(500);
        }
        fleet.recorder.write("check: %d of %d submissions had nothing running for 3 s; at most %d millicores were in use",
                idle.size(), jobs.size(), mostUsed);
        return !idle.isEmpty() && mostUsed == 0;
    }
}
