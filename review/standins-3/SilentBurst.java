import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Tasks that last are at work; a large submission comes and is done. Another one comes, and while workers are sent its
 * tasks, all open connections to workers go silent. New connections work. Then the leases of the lasting tasks are watched.
 */
public final class SilentBurst {
    private static final int WORKERS = 12;
    private static final int BURSTS = 2;
    private static final int TASKS = 900;
    /** The largest spec of the pages has 4,000 bytes. */
    private static final int SPEC_BYTES = 4000;

    private static final int LASTING = 6;
    private static final int MAX_UNAVAILABLE = 1;
    /** {@code contact_ms} is 3 s. Nothing is judged before twice that time has passed. */
    private static final int CALM_SECONDS = 6;

    private static final int WATCH_SECONDS = 40;

    private SilentBurst() {}

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

    /** The lasting tasks: when each was last ended by a lapse, and since when it runs. */
    private static final class Lasting {
        private final Map<String, Long> runsSinceNanos = new HashMap<>();
        private final Map<String, String> lapsed = new HashMap<>();
        private boolean judging;
        private int lapses;
        private int beyond;

        synchronized void started(Worker.Run run) {
            if (run.durationMillis == 0) {
                runsSinceNanos.put(run.task, System.nanoTime());
            }
        }

        synchronized void ended(Worker.Run run, String how, Record record) {
            if (run.durationMillis != 0) {
                return;
            }
            boolean atWork = run.percent() >= 100;
            runsSinceNanos.remove(run.task);
            if (judging && how.equals("lapsed") && atWork) {
                lapses++;
                long away = lapsed.keySet().stream()
                        .filter(other -> !other.equals(run.task) && !runsSinceNanos.containsKey(other))
                        .count();
                if (away >= MAX_UNAVAILABLE) {
                    beyond++;
                    record.line("the lease of " + run.task + " lapses while " + away
                            + " others of its step are away by a lapse");
                }
                lapsed.put(run.task, how);
            }
        }

        synchronized void judge() {
            judging = true;
        }
    }

    /** Hands a large submission in. */
    private static void burst(Cluster cluster, Record record, int burst) throws InterruptedException {
        String spec = "dur=1500 cpu=200 " + "x".repeat(SPEC_BYTES - 17);
        new Client(cluster, record)
                .submit(
                        String.format("%016x", 0xb00 + burst),
                        "{\"spec\":\"" + spec + "\",\"steps\":[{\"count\":" + TASKS
                                + ",\"cpu\":200,\"mem_mb\":64,\"est_ms\":1500}]}",
                        10);
    }

    private static int play(Record record, Cluster cluster) throws Exception {
        cluster.start();
        if (!cluster.replace(Cluster.manifest(1, 0), 20) || !cluster.awaitService(20)) {
            record.line("the system did not start");
            return Record.NOT_RUN;
        }
        SilentLinks links = new SilentLinks(cluster.controls());
        Http.link = address -> cluster.controls().contains(address) ? links.to(address) : address;
        Lasting lasting = new Lasting();
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            Worker worker = new Worker(
                    "w-" + i,
                    "zone-" + "abc".charAt(i % 3),
                    "r-" + i % 6,
                    "127.0.0.1:" + (9001 + i),
                    16_000,
                    cluster.controls(),
                    record);
            worker.onStart = (at, run) -> lasting.started(run);
            worker.onEnd = (run, how) -> lasting.ended(run, how, record);
            worker.start();
            workers.add(worker);
        }
        Thread.sleep(3000);
        Client client = new Client(cluster, record);
        String serving = "00000000000000d0";
        boolean accepted = client.submit(
                serving,
                "{\"spec\":\"dur=0 cpu=500\",\"steps\":[{\"count\":" + LASTING
                        + ",\"cpu\":500,\"mem_mb\":64,\"est_ms\":1000,\"daemon\":true,\"max_per_server\":1,"
                        + "\"max_unavailable\":" + MAX_UNAVAILABLE + "}]}",
                20);
        if (!accepted) {
            return Record.NOT_RUN;
        }
        Thread.sleep(6000);
        int silences = 0;
        for (int burst = 0; burst < BURSTS; burst++) {
            if (Record.trouble() && burst == BURSTS - 1) {
                links.silenceDuringNextLargeResponse();
            }
            burst(cluster, record, burst);
            Thread.sleep(6000);
            silences += Record.trouble() && burst == BURSTS - 1 && !links.disarm() ? 1 : 0;
            record.line(links.counts());
        }
        if (Record.trouble() && silences == 0) {
            record.line("no large response was under way");
            return Record.NOT_RUN;
        }
        TimeUnit.SECONDS.sleep(CALM_SECONDS);
        String finite = "00000000000000f0";
        client.submit(
                finite,
                "{\"spec\":\"dur=20000 cpu=500\",\"steps\":[{\"count\":4,\"cpu\":500,\"mem_mb\":64,\"est_ms\":20000}]}",
                10);
        record.line("from here on nothing is disturbed");
        lasting.judge();
        TimeUnit.SECONDS.sleep(WATCH_SECONDS);
        record.line("GET " + finite + " (20 s of work, sent " + WATCH_SECONDS + " s ago) -> " + client.state(finite));
        synchronized (lasting) {
            record.line("leases of lasting tasks that lapsed at work: " + lasting.lapses
                    + "; beyond max_unavailable: " + lasting.beyond);
            links.close();
            return lasting.beyond > 0 ? Record.BROKEN : Record.HELD;
        }
    }
}
