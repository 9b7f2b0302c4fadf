import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** Workers crash and are back soon, a few at a time; submissions are handed in and asked for. */
public final class CrashRounds {
    private static final int WORKERS = 24;
    /** 3 of 24: a share of 0.125. */
    private static final int CRASHES = 3;

    private static final int ROUNDS = 24;
    private static final int SUBMISSIONS = 60;
    private static final int TASKS = 8;
    private static final int FINISH_SECONDS = 14;

    private CrashRounds() {}

    public static void main(String[] args) {
        int result;
        try (Record record = new Record(Path.of(args[0]));
                Cluster cluster = new Cluster(record, 3, 2, false)) {
            result = play(record, cluster);
            record.line("exit " + result);
        } catch (Exception e) {
            System.err.println("the case could not run: " + e);
            result = Record.NOT_RUN;
        }
        System.exit(result);
    }

    private static int play(Record record, Cluster cluster) throws Exception {
        cluster.start();
        if (!cluster.replace(Cluster.manifest(1, 0), 20) || !cluster.awaitService(20)) {
            record.line("the system did not start");
            return Record.NOT_RUN;
        }
        Map<String, Integer> lost = new HashMap<>();
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            Worker worker = new Worker(
                    "w-" + i,
                    "zone-" + "abc".charAt(i % 3),
                    "r-" + i % 6,
                    "127.0.0.1:" + (9001 + i),
                    8000,
                    cluster.controls(),
                    record);
            worker.start();
            workers.add(worker);
        }
        Thread.sleep(3000);
        Client client = new Client(cluster, record);
        Map<String, String> states = new LinkedHashMap<>();
        for (int i = 0; i < SUBMISSIONS; i++) {
            String id = String.format("%016x", 0xa00 + i);
            if (!client.submit(
                    id,
                    "{\"spec\":\"dur=3500 cpu=250\",\"steps\":[{\"count\":" + TASKS
                            + ",\"cpu\":250,\"mem_mb\":64,\"est_ms\":3500}]}",
                    20)) {
                return Record.NOT_RUN;
            }
            states.put(id, "");
        }
        Random random = new Random(5);
        for (int round = 0; round < ROUNDS && Record.trouble(); round++) {
            Collections.shuffle(workers, random);
            List<Worker> down = List.copyOf(workers.subList(0, CRASHES));
            for (Worker worker : down) {
                for (String run : worker.crash()) {
                    lost.merge(run.substring(0, run.indexOf(' ')), 1, Integer::sum);
                    record.line(worker.id + ": crashes; lost " + run);
                }
            }
            Thread.sleep(600);
            down.forEach(Worker::start);
            Thread.sleep(600);
        }
        record.line("no worker crashes from here on");
        TimeUnit.SECONDS.sleep(FINISH_SECONDS);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (System.nanoTime() < end && states.values().stream().anyMatch(each -> !each.matches("done|failed"))) {
            states.replaceAll((id, state) -> state.matches("done|failed") ? state : client.state(id));
            Thread.sleep(200);
        }
        int broken = 0;
        for (Map.Entry<String, String> each : states.entrySet()) {
            record.line("GET " + each.getKey() + " -> " + each.getValue());
            if (each.getValue().equals("failed")) {
                broken++;
            }
        }
        lost.entrySet().removeIf(each -> each.getValue() < 3);
        record.line("tasks that were lost in three crashes or more: " + new java.util.TreeMap<>(lost));
        record.line("runs that ended failed: 0; submissions shown as failed: " + broken);
        return broken > 0 ? Record.BROKEN : Record.HELD;
    }
}
