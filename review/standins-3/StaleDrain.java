import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The operator empties a zone and takes it back. A core machine stands still meanwhile; the operator's first attempt was
 * sent to it. Then a submission comes that needs a label of that zone.
 */
public final class StaleDrain {
    private static final int WORKERS = 12;
    private static final String ZONE = "zone-b";
    private static final String LABEL = "r-1";
    private static final int FINISH_SECONDS = 14;

    private StaleDrain() {}

    public static void main(String[] args) {
        int result;
        try (Record record = new Record(Path.of(args[0]));
                Cluster cluster = new Cluster(record, 3, 2, true)) {
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
        for (int i = 0; i < WORKERS; i++) {
            new Worker(
                            "w-" + i,
                            "zone-" + "abc".charAt(i % 3),
                            "r-" + i % 3,
                            "127.0.0.1:" + (9001 + i),
                            16_000,
                            cluster.controls(),
                            record)
                    .start();
        }
        Thread.sleep(3000);
        Client client = new Client(cluster, record);
        if (!client.submit("00000000000000a1", submission(), 10) || !awaitDone(client, "00000000000000a1", 10, record)) {
            return Record.NOT_RUN;
        }
        Cluster.Node leader = cluster.awaitLeader(10);
        Cluster.Node first =
                cluster.cores.stream().filter(node -> node != leader).findFirst().orElseThrow();
        List<Cluster.Node> others =
                cluster.cores.stream().filter(node -> node != first).toList();
        if (Record.trouble()) {
            record.line(first.name + " stands still");
            cluster.signal(first, "STOP");
        }
        Thread.sleep(200);
        boolean started = order(record, cluster, first, "/Evacuate.Start/" + ZONE)
                || order(record, cluster, others.get(0), "/Evacuate.Start/" + ZONE)
                || order(record, cluster, others.get(1), "/Evacuate.Start/" + ZONE);
        Thread.sleep(5200);
        boolean finished = order(record, cluster, others.get(0), "/Evacuate.Finish/" + ZONE)
                || order(record, cluster, others.get(1), "/Evacuate.Finish/" + ZONE);
        if (!started || !finished) {
            record.line("an order was not acknowledged");
            cluster.signal(first, "CONT");
            return Record.NOT_RUN;
        }
        Thread.sleep(300);
        if (Record.trouble()) {
            cluster.signal(first, "CONT");
            record.line(first.name + " wakes again");
        }
        Thread.sleep(6000);
        record.line("from here on nothing is disturbed; " + ZONE + " was taken back, which was acknowledged");
        boolean accepted = client.submit("00000000000000a2", submission(), 10);
        boolean elsewhere = client.submit(
                "00000000000000a3",
                "{\"spec\":\"dur=300 cpu=500\",\"steps\":[{\"count\":4,\"cpu\":500,\"mem_mb\":64,\"est_ms\":300}]}",
                10);
        if (!accepted || !elsewhere) {
            return Record.NOT_RUN;
        }
        awaitDone(client, "00000000000000a3", 5, record);
        TimeUnit.SECONDS.sleep(FINISH_SECONDS);
        boolean done = awaitDone(client, "00000000000000a2", 6, record);
        record.line("4 workers of " + ZONE + " with the label are up, with 64 free cores; the submission wants 2; done: "
                + done);
        return done ? Record.HELD : Record.BROKEN;
    }

    private static String submission() {
        return "{\"spec\":\"dur=300 cpu=500\",\"steps\":[{\"count\":4,\"cpu\":500,\"mem_mb\":64,\"est_ms\":300,"
                + "\"required_label\":\"" + LABEL + "\"}]}";
    }

    private static boolean awaitDone(Client client, String id, long seconds, Record record)
            throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        String state = "";
        while (System.nanoTime() < end && !state.equals("done")) {
            state = client.state(id);
            Thread.sleep(200);
        }
        record.line("GET " + id + " -> " + state);
        return state.equals("done");
    }

    /** Sends an order and waits a second for the response, as the pages say. */
    private static boolean order(Record record, Cluster cluster, Cluster.Node node, String path) {
        try {
            int status = Http.call(cluster.control(node), "POST", path, null, "{}", 1000)
                    .status();
            record.line("POST " + path + " at " + node.name + " -> " + status);
            return status == 200;
        } catch (IOException e) {
            record.line("POST " + path + " at " + node.name + " -> no answer: " + e.getMessage());
            return false;
        }
    }
}
