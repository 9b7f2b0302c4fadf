import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

/** Runs one case on a small deployment. The exit status is 1 if the rule was broken, 0 if it held, 2 otherwise. */
abstract class Case {
    static final String HOST = "nony24.example";
    static final String SERVICE = "huvo11a";
    static final String QUEUE = "/pule252/";
    private static final long LIMIT_MILLIS = 114_000;

    /** Whether the disruption takes place. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    final Gangs gangs = new Gangs();
    final List<Worker> workers = new ArrayList<>();
    Cluster cluster;
    Client client;

    /** Returns whether the rule held; throws if the case could not run. */
    abstract boolean holds() throws Exception;

    int leaseMillis() {
        return 10_000;
    }

    int workerCount() {
        return 8;
    }

    String manifest() {
        return Client.manifest(4, HOST, SERVICE, List.of(Map.entry("r-73hh2b9", QUEUE)));
    }

    static void run(Case test, String[] arguments) throws IOException {
        Path folder = Files.createTempDirectory("waxwinghead-review");
        Thread limit = new Thread(() -> expire(test));
        limit.setDaemon(true);
        limit.start();
        Record.open(Path.of(arguments[0], "record.txt"));
        int status = 2;
        try {
            test.startAll(folder);
            boolean held = test.holds();
            Record.line(held ? "the rule held" : "the rule was broken");
            status = held ? 0 : 1;
        } catch (Exception e) {
            Record.line("the case could not run: %s", e);
            e.printStackTrace(System.out);
        }
        if (test.cluster != null) {
            test.cluster.close();
        }
        delete(folder);
        System.exit(status);
    }

    /** Ends a case that takes too long; it counts as one that could not run. */
    private static void expire(Case test) {
        try {
            Thread.sleep(LIMIT_MILLIS);
        } catch (InterruptedException e) {
            return;
        }
        Record.line("the case took too long");
        System.exit(2);
    }

    private void startAll(Path folder) throws IOException, InterruptedException {
        cluster = Cluster.start(folder, leaseMillis());
        client = new Client(cluster, HOST);
        require(cluster.configure(manifest(), 30), "the manifest was not acknowledged");
        for (int i = 0; i < workerCount(); i++) {
            Worker worker = new Worker(i, cluster, SERVICE, gangs);
            workers.add(worker);
            worker.start();
        }
        require(cluster.ready(30), "the fronts are not ready");
        Thread.sleep(3000);
        Record.line("%d core machines, %d fronts, %d workers are up", Cluster.CORES, Cluster.FRONTS, workerCount());
    }

    static void require(boolean condition, String message) throws IOException {
        if (!condition) {
            throw new IOException(message);
        }
    }

    static boolean await(long millis, BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                return false;
            }
            Thread.sleep(10);
        }
        return true;
    }

    Worker workerOf(String task) {
        return workers.stream().filter(worker -> worker.runs(task)).findFirst().orElse(null);
    }

    private static void delete(Path folder) throws IOException {
        try (var files = Files.walk(folder)) {
            for (Path file : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
