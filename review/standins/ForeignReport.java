import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** A status report from another writer, for a service that no manifest names, arrives from a worker's address. */
final class ForeignReport implements Case.Scenario {
    private static final String JOB = "00000000000000a1";
    private static final String LATER_JOB = "00000000000000a2";

    @Override
    public boolean isBroken(Fleet fleet, Runs runs, boolean trouble) throws Exception {
        Gangs gangs = new Gangs();
        List<Worker> workers = new ArrayList<>();
        for (int i = 1; i <= 6; i++) {
            workers.add(new Worker("i-" + i, fleet.address(100 + i) + ":8080", 16_000, fleet, runs, gangs).start());
        }
        Thread.sleep(3000);
        fleet.submit("q0", JOB, "{\"spec\":\"work_ms=9000;cpu=4000\",\"steps\":[{\"count\":12,\"cpu\":4000,"
                + "\"mem_mb\":1000,\"est_ms\":9000}]}");
        Thread.sleep(3000);
        Worker worker = workers.get(0);
        if (trouble) {
            sendForeignReport(fleet, worker);
        }
        Thread.sleep(15_000);
        fleet.recorder.write("client: submission is %s", fleet.state("q0", JOB));
        int before = runs.all().size();
        fleet.submit("q0", LATER_JOB, "{\"spec\":\"work_ms=1000;cpu=4000\",\"steps\":[{\"count\":24,\"cpu\":4000,"
                + "\"mem_mb\":1000,\"est_ms\":1000}]}");
        Thread.sleep(5000);
        long there = runs.all().stream().skip(before).filter(run -> run.worker.equals(worker.id)).count();
        fleet.recorder.write("later submission of 24 tasks: %d of its runs began on worker %s", there, worker.id);
        return runs.longestOverlapMillis() > 0;
    }

    private static void sendForeignReport(Fleet fleet, Worker worker) throws Exception {
        String body = "{\"service\":\"log-shipper\",\"addr\":\"" + worker.address + "\",\"zone\":\"zone-a\","
                + "\"version\":\"v7\",\"slots\":1,\"state\":\"ready\",\"cold_left_ms\":0,"
                + "\"capacity\":{\"cpu\":1000,\"mem_mb\":1000,\"gpus\":0},\"labels\":[\"a\",\"r1-1\"],"
                + "\"current_ms\":" + System.currentTimeMillis() + ",\"seq\":1,\"born\":" + System.currentTimeMillis() + "}";
        String host = fleet.coreAddresses().get(0);
        for (int hop = 0; hop < 3; hop++) {
            HttpResponse<String> response = fleet.http.send(
                    HttpRequest.newBuilder(URI.create("http://" + host + "/Instances.Heartbeat/agent-1"))
                            .timeout(Duration.ofSeconds(1))
                            .header("Content-Type", "application/json")
                            .POST(HttpRequest.BodyPublishers.ofString(body))
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            fleet.recorder.write("other writer: report for service log-shipper at %s, sent to %s -> %d %s",
                    worker.address, host, response.statusCode(), response.body());
            if (response.statusCode() != 307) {
                return;
            }
            host = URI.create(response.headers().firstValue("Location").orElseThrow()).getAuthority();
        }
    }
}
