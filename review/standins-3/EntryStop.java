import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Machines are stopped and started in turn: an entry host, and some seconds later the core machine that leads. Clients
 * that keep their connections to the entry host open hand submissions in.
 */
public final class EntryStop {
    private static final int ROUNDS = 8;
    private static final int CONNECTIONS = 24;
    private static final int LOSS_SLACK_MILLIS = 200;
    private static final long LEADER_STOPS_MILLIS = 3970;

    private EntryStop() {}

    public static void main(String[] args) {
        int result;
        try (Record record = new Record(Path.of(args[0]));
                Cluster cluster = new Cluster(record, 3, 3, false)) {
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
        for (int i = 0; i < 48; i++) {
            new Worker("w-" + i, "zone-" + "abc".charAt(i % 3), "r-" + i % 6, "127.0.0.1:" + (9001 + i), 16_000,
                            cluster.controls(), record)
                    .start();
        }
        Thread traffic = new Thread(() -> traffic(cluster, record), "traffic");
        traffic.setDaemon(true);
        traffic.start();
        AtomicInteger lost = new AtomicInteger();
        for (int round = 0; round < ROUNDS && lost.get() == 0; round++) {
            Thread.sleep(4500);
            round(record, cluster, round, lost);
        }
        record.line("requests that were read and ended without an answer after more than " + LOSS_SLACK_MILLIS + " ms: "
                + lost.get());
        return lost.get() > 0 ? Record.BROKEN : Record.HELD;
    }

    private static void round(Record record, Cluster cluster, int round, AtomicInteger lost) throws Exception {
        Cluster.Node entry = cluster.entries.get(round % cluster.entries.size());
        Cluster.Node leader = cluster.awaitLeader(10);
        List<Http> open = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            Http http = new Http(cluster.front(entry), 1000);
            http.send("GET", Cluster.PREFIX, Cluster.HOST, null, 1000);
            http.receive(1000);
            open.add(http);
        }
        long start = System.nanoTime();
        if (Record.trouble()) {
            record.line("SIGTERM to " + entry.name);
            cluster.signal(entry, "TERM");
        }
        await(start, LEADER_STOPS_MILLIS);
        if (Record.trouble()) {
            record.line("SIGTERM to " + leader.name + ", which leads");
            cluster.signal(leader, "TERM");
        }
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            Http http = open.get(i);
            String id = String.format(Locale.ROOT, "%014x%02x", 0xe00 + round, i);
            long at = LEADER_STOPS_MILLIS + 4 + i;
            Thread thread = new Thread(() -> {
                await(start, at);
                long sent = System.nanoTime();
                try {
                    http.send(
                            "POST",
                            Cluster.PREFIX + id,
                            Cluster.HOST,
                            "{\"spec\":\"dur=100 cpu=100\",\"steps\":[{\"count\":1,\"cpu\":100,\"mem_mb\":16,\"est_ms\":100}]}",
                            3000);
                    sent = System.nanoTime();
                    int status = http.receive(3000).status();
                    record.line("POST " + id + " -> " + status + " after " + millis(sent) + " ms");
                } catch (IOException e) {
                    long after = millis(sent);
                    record.line("POST " + id + " -> no answer after " + after + " ms: " + e.getMessage());
                    if (after > LOSS_SLACK_MILLIS && after < 2900) {
                        lost.incrementAndGet();
                    }
                }
            });
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        for (Http http : open) {
            http.close();
        }
        if (Record.trouble()) {
            cluster.restart(entry);
            cluster.restart(leader);
        }
    }

    /** Hands eight submissions a second in, about the rate of the site. */
    private static void traffic(Cluster cluster, Record record) {
        for (int i = 0; ; i++) {
            String id = String.format(Locale.ROOT, "%016x", 0xaaa000 + i);
            Cluster.Node entry = cluster.entries.get(i % cluster.entries.size());
            Thread thread = new Thread(() -> {
                try {
                    Http.call(
                            cluster.front(entry),
                            "POST",
                            Cluster.PREFIX + id,
                            Cluster.HOST,
                            "{\"spec\":\"dur=2700 cpu=1800\",\"steps\":[{\"count\":8,\"cpu\":1800,\"mem_mb\":64,\"est_ms\":2700}]}",
                            3000);
                } catch (IOException e) {
                    record.debug("POST " + id + ": " + e.getMessage());
                }
            });
            thread.setDaemon(true);
            thread.start();
            try {
                Thread.sleep(125);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static long millis(long sinceNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos);
    }

    private static void await(long start, long millis) {
        while (millis(start) < millis) {
            java.util.concurrent.locks.LockSupport.parkNanos(200_000);
        }
    }
}
