import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A deployment on loopback: three core machines and some entry hosts, each with an address of its own, run with the
 * commands of the deploy file. The bounds are those of the site that the claims name.
 */
final class Cluster implements AutoCloseable {
    static final String SERVICE = "orders";
    static final String HOST = "queue.example";
    static final String PREFIX = "/q1/";

    /** A process of the system. */
    static final class Node {
        final String name;
        final String ip;
        final boolean core;
        final String zone;
        Process process;
        boolean started;

        Node(String name, String ip, boolean core, String zone) {
            this.name = name;
            this.ip = ip;
            this.core = core;
            this.zone = zone;
        }
    }

    private final Path folder;
    private final Record record;
    private final String entryCommand;
    private final String coreCommand;
    private final int frontPort;
    private final int readyPort;
    private final int controlPort;
    private final int peerPort;
    private final boolean evacuations;
    final List<Node> cores = new ArrayList<>();
    final List<Node> entries = new ArrayList<>();

    Cluster(Record record, int cores, int entries, boolean evacuations) throws IOException {
        this.record = record;
        this.evacuations = evacuations;
        this.folder = Files.createTempDirectory("review-3-");
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        this.entryCommand = command(deploy, "entry");
        this.coreCommand = command(deploy, "core");
        ThreadLocalRandom random = ThreadLocalRandom.current();
        String net = "127." + random.nextInt(20, 250) + "." + random.nextInt(1, 250) + ".";
        for (int i = 0; i < cores; i++) {
            this.cores.add(new Node("core-" + i, net + (10 + i), true, "zone-" + "abc".charAt(i % 3)));
        }
        for (int i = 0; i < entries; i++) {
            this.entries.add(new Node("entry-" + i, net + (30 + i), false, "zone-" + "abc".charAt(i % 3)));
        }
        int base = random.nextInt(20_000, 30_000);
        while (!free(net, base)) {
            base += 10;
        }
        frontPort = base;
        readyPort = base + 1;
        controlPort = base + 2;
        peerPort = base + 3;
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    private boolean free(String net, int base) {
        List<Node> all = all();
        for (Node node : all) {
            for (int port = base; port < base + 5; port++) {
                try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(node.ip))) {
                    probe.setReuseAddress(true);
                } catch (IOException e) {
                    return false;
                }
            }
        }
        return true;
    }

    private static String command(String deploy, String role) {
        Matcher run = Pattern.compile("\\[roles\\." + role + "]\\s+run = \"([^\"]+)\"").matcher(deploy);
        if (!run.find()) {
            throw new IllegalStateException("the deploy file has no role " + role);
        }
        return run.group(1);
    }

    List<Node> all() {
        return Stream.concat(cores.stream(), entries.stream()).toList();
    }

    String control(Node node) {
        return node.ip + ":" + controlPort;
    }

    String front(Node node) {
        return node.ip + ":" + frontPort;
    }

    List<String> controls() {
        return cores.stream().map(this::control).toList();
    }

    void start() {
        all().forEach(this::start);
    }

    /** Starts a process; the first start of a machine is the first start of the system. */
    void start(Node node) {
        try {
            List<String> lines = new ArrayList<>(List.of(
                    "node=" + node.name,
                    "role=" + (node.core ? "core" : "entry"),
                    "class=" + (node.core ? "core" : "front"),
                    "serves=" + (node.core ? "control" : "front"),
                    "ip=" + node.ip,
                    "zone=" + node.zone,
                    "region=region",
                    "zones.zone-a=region",
                    "zones.zone-b=region",
                    "zones.zone-c=region",
                    "port_range=" + peerPort + "," + (peerPort + 1),
                    "seeds=" + String.join(",", controls().subList(0, 3)),
                    "bootstrap=" + !node.started,
                    "loss_counts=" + node.core,
                    "limits.cpu_share=" + (node.core ? "0.525" : "0.75"),
                    "limits.cores=1",
                    "limits.memory_mb=" + (node.core ? "426" : "430"),
                    "limits.max_fds=4096",
                    "limits.disk_mb=" + (node.core ? "128" : "0"),
                    "discovery=registry",
                    "entry=vip",
                    "heartbeat_ms=1500",
                    "contracts=base,drain,config,cost,recover,sched,advice,upkeep,sharing",
                    "tolerate.machines=1",
                    "tolerate.zones=1",
                    "tolerate.regions=0",
                    "bounds.contact_ms=3000",
                    "bounds.ack_ms=4000",
                    "bounds.catch_up_s=4",
                    "bounds.drain_ms=2000",
                    "bounds.grace_s=6",
                    "bounds.loss_slack_ms=200",
                    "bounds.config_apply_ms=2000",
                    "bounds.recovery_s=12",
                    "bounds.hold_max_ms=10000",
                    "bounds.stop_ms=900",
                    "bounds.cancel_ms=3000",
                    "bounds.visible_ms=3000",
                    "bounds.finish_s=14",
                    "bounds.status_s=120",
                    "config_mode=highest",
                    "commands=heartbeat"));
            if (node.core) {
                lines.add("listen.control=" + control(node));
                lines.add("data_dir=" + folder.resolve(node.name));
            } else {
                lines.add("listen.front=" + front(node));
                lines.add("listen.readiness=" + node.ip + ":" + readyPort);
            }
            if (evacuations) {
                lines.add("bounds.evacuate_ms=5000");
            }
            Path settings = folder.resolve(node.name + ".conf");
            Files.write(settings, lines);
            ProcessBuilder builder =
                    new ProcessBuilder(List.of((node.core ? coreCommand : entryCommand).split(" ")));
            builder.environment().put("WAXWINGHEAD_NODE_FILE", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log(node).toFile()));
            node.process = builder.start();
            node.started = true;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    Path log(Node node) {
        return folder.resolve(node.name + ".log");
    }

    /** Waits until a process has ended, then starts it again. */
    void restart(Node node) throws InterruptedException {
        node.process.waitFor();
        start(node);
    }

    void signal(Node node, String signal) {
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(node.process.pid()))
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the core machine that answers reports itself; all others redirect to it. */
    Node leader() {
        for (Node node : cores) {
            try (Http http = new Http(control(node), 500)) {
                http.send("POST", "/Instances.Heartbeat/none", null, "{}", 500);
                if (http.receive(500).status() == 400) {
                    return node;
                }
            } catch (IOException e) {
                continue;
            }
        }
        return null;
    }

    Node awaitLeader(long seconds) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (System.nanoTime() < end) {
            Node leader = leader();
            if (leader != null) {
                return leader;
            }
            Thread.sleep(50);
        }
        return null;
    }

    /** Returns a manifest with the usual queue and further queues that nobody uses. */
    static String manifest(long version, int idleRoutes) {
        StringBuilder out = new StringBuilder("{\"version\":" + version + ",\"routes\":[");
        out.append(route("r-main", HOST, PREFIX, 3000));
        for (int i = 0; i < idleRoutes; i++) {
            String word = Long.toString(Math.abs(31L * (i + 7) * 2_654_435_761L) % 78_364_164_096L, 36);
            out.append(',').append(route("r-" + word, "h" + (i % 90) + ".example", "/p" + word + "/", 3000 + version % 7));
        }
        return out.append("],\"services\":[{\"name\":\"" + SERVICE
                        + "\",\"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,"
                        + "\"enforces_capacity\":true,\"standby\":false}],\"limits\":{\"max_header_bytes\":16384,"
                        + "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}")
                .toString();
    }

    private static String route(String name, String host, String prefix, long timeout) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + host + "\",\"path_prefix\":\"" + prefix
                + "\",\"kind\":\"non_idempotent\",\"timeout_ms\":" + timeout
                + ",\"slo_ms\":1000,\"priority\":0,\"service\":\"" + SERVICE + "\",\"attempts\":4,\"stretch\":2.0}";
    }

    /** Sends a manifest as the operator does: to one node after the other, until it is acknowledged. */
    boolean replace(String manifest, long seconds) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        for (int i = 0; System.nanoTime() < end; i++) {
            try {
                String address = controls().get(i % cores.size());
                if (Http.call(address, "POST", "/Config.Replace", null, manifest, 2000).status() == 200) {
                    return true;
                }
            } catch (IOException e) {
                record.debug("Config.Replace: " + e.getMessage());
            }
            Thread.sleep(100);
        }
        return false;
    }

    /** Waits until an entry host answers for the queue. */
    boolean awaitService(long seconds) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        for (Node entry : entries) {
            boolean served = false;
            while (!served && System.nanoTime() < end) {
                try {
                    served = Http.call(front(entry), "GET", PREFIX, HOST, null, 1000).status() == 200;
                } catch (IOException e) {
                    record.debug("GET queue: " + e.getMessage());
                }
                if (!served) {
                    Thread.sleep(50);
                }
            }
            if (!served) {
                return false;
            }
        }
        return true;
    }

    @Override
    public void close() {
        for (Node node : all()) {
            if (node.process != null) {
                node.process.destroyForcibly();
            }
        }
        for (Node node : all()) {
            try {
                if (node.process != null) {
                    node.process.waitFor(3, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP_LOGS") != null) {
            System.err.println("logs in " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException | UncheckedIOException e) {
            record.debug("the temporary folder is gone already");
        }
    }
}
