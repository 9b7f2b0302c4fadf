import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Workers have done work well. The leading core machine is killed and is back at once. Then a submission of long tasks
 * comes, and small ones after it, which need a fraction of the room that is free.
 */
public final class UnprovenWorkers {
    private static final int WORKERS = 12;
    private static final long CORES = 16_000;
    /** The largest width and the longest task of a kind of submission on the site. */
    private static final int LONG_TASKS = 80;
    private static final long LONG_MILLIS = 20_000;
    private static final int SMALL = 5;
    private static final int FINISH_SECONDS = 14;
    private static final int JUDGED_MILLIS = 3000;

    private UnprovenWorkers() {}

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
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            Worker worker = new Worker(
                    "w-" + i,
                    "zone-" + "abc".charAt(i % 3),
                    "r-" + i % 6,
                    "127.0.0.1:" + (9001 + i),
                    CORES,
                    cluster.controls(),
                    record);
            worker.start();
            workers.add(worker);
        }
        Thread.sleep(3000);
        Client client = new Client(cluster, record);
        if (!client.submit("00000000000000a0", submission(300, 500, 96), 10)) {
            return Record.NOT_RUN;
        }
        Thread.sleep(6000);
        record.line("GET 00000000000000a0 -> " + client.state("00000000000000a0"));
        if (Record.trouble()) {
            Cluster.Node leader = cluster.awaitLeader(10);
            record.line(leader.name + " is killed");
            cluster.signal(leader, "KILL");
            cluster.restart(leader);
        }
        Thread.sleep(8000);
        if (!client.submit("00000000000000b0", submission(LONG_MILLIS, 1000, LONG_TASKS), 10)) {
            return Record.NOT_RUN;
        }
        Thread.sleep(1000);
        Set<String> small = new HashSet<>();
        for (int i = 0; i < SMALL; i++) {
            String id = "00000000000000c" + i;
            if (!client.submit(id, submission(300, 500, 2), 10)) {
                return Record.NOT_RUN;
            }
            small.add(id);
        }
        record.line("the traffic ends");
        TimeUnit.SECONDS.sleep(FINISH_SECONDS);
        for (String id : small) {
            record.line("GET " + id + " -> " + client.state(id));
        }
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(JUDGED_MILLIS);
        Set<String> idle = new HashSet<>(small);
        long most = 0;
        while (System.nanoTime() < end) {
            long used = 0;
            for (Worker worker : workers) {
                for (Worker.Run run : worker.running()) {
                    used += run.cpu;
                    idle.remove(run.task.substring(0, run.task.indexOf('.')));
                }
            }
            most = Math.max(most, used);
            Thread.sleep(20);
        }
        idle.removeIf(id -> client.state(id).equals("done"));
        record.line("for 3 s at most " + most + " of " + WORKERS * CORES + " thousandths of a core were in use, each of "
                + "the submissions wants 1000, nothing of these ran: " + new java.util.TreeSet<>(idle));
        return idle.isEmpty() || most * 2 >= WORKERS * CORES ? Record.HELD : Record.BROKEN;
    }

    private static String submission(long millis, long cpu, int count) {
        return "{\"spec\":\"dur=" + millis + " cpu=" + cpu + "\",\"steps\":[{\"count\":" + count + ",\"cpu\":" + cpu
                + ",\"mem_mb\":64,\"est_ms\":" + millis + "}]}";
    }
}
