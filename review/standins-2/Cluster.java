import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Runs a small deployment: three core machines and two front machines, each on a loopback address of its own. */
final class Cluster implements AutoCloseable {
    static final int CORES = 3;
    static final int FRONTS = 2;

    private final Path folder;
    private final String net;
    private final int controlPort;
    private final int frontPort;
    private final int readinessPort;
    private final int peerPort;
    private final int leaseMillis;
    private final List<Process> processes = new ArrayList<>();
    private final List<Process> cores = new ArrayList<>();
    private boolean bootstrap = true;

    private Cluster(Path folder, int leaseMillis) throws IOException {
        this.folder = folder;
        this.leaseMillis = leaseMillis;
        ThreadLocalRandom random = ThreadLocalRandom.current();
        this.net = "127." + random.nextInt(20, 250) + "." + random.nextInt(1, 250) + ".";
        this.controlPort = freePort();
        this.frontPort = freePort();
        this.readinessPort = freePort();
        this.peerPort = freePort();
    }

    static Cluster start(Path folder, int leaseMillis) throws IOException, InterruptedException {
        Cluster cluster = new Cluster(folder, leaseMillis);
        Runtime.getRuntime().addShutdownHook(new Thread(cluster::close));
        for (int i = 0; i < CORES; i++) {
            cluster.cores.add(cluster.launch("core", i));
        }
        for (int i = 0; i < FRONTS; i++) {
            cluster.launch("entry", i);
        }
        return cluster;
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    String control(int core) {
        return net + (11 + core) + ":" + controlPort;
    }

    String front(int front) {
        return net + (31 + front) + ":" + frontPort;
    }

    /** Returns an address on which a stand-in may listen. */
    String workerHost(int worker) {
        return net + (51 + worker);
    }

    Process core(int core) {
        return cores.get(core);
    }

    Path log(String role, int number) {
        return folder.resolve(role + "-" + number + ".log");
    }

    /** Kills the processes of a core machine. */
    void killCore(int core) {
        cores.get(core).destroyForcibly().onExit().join();
    }

    /** Starts a core machine again, on the disk that it had. */
    void restartCore(int core) throws IOException {
        bootstrap = false;
        cores.set(core, launch("core", core));
    }

    /** Sends a signal to a core machine's process. */
    void signalCore(int core, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(cores.get(core).pid())).start().waitFor();
    }

    /** Returns the core machine that acts as the scheduler, or -1 if none answers reports. */
    int leader() {
        for (int core = 0; core < CORES; core++) {
            Http.Answer answer = Http.call(control(core), "POST", "/Instances.Heartbeat/i-probe", "", "{}", 500);
            if (answer.status() != 0 && answer.status() != 307 && answer.status() != 503) {
                return core;
            }
        }
        return -1;
    }

    private Process launch(String role, int number) throws IOException {
        boolean core = role.equals("core");
        String ip = net + (core ? 11 + number : 31 + number);
        List<String> lines = new ArrayList<>(List.of(
                "node=" + role + "-" + number,
                "role=" + role,
                "class=" + (core ? "core" : "front"),
                "serves=" + (core ? "control" : "front"),
                "ip=" + ip,
                "zone=z-a",
                "region=r-a",
                "zones.z-a=r-a",
                "port_range=" + peerPort + "," + (peerPort + 15),
                "seeds=" + control(0) + "," + control(1) + "," + control(2),
                "bootstrap=" + bootstrap,
                "loss_counts=" + core,
                "discovery=registry",
                "entry=vip",
                "heartbeat_ms=1500",
                "contracts=base,drain,config,cost,recover,sched,advice,upkeep,sharing",
                "tolerate.machines=1",
                "tolerate.zones=1",
                "tolerate.regions=0",
                "bounds.hold_max_ms=" + leaseMillis,
                "bounds.status_s=120",
                "bounds.stop_ms=900",
                "bounds.gang_ms=3000",
                "bounds.cancel_ms=3000",
                "config_mode=highest",
                "commands=heartbeat"));
        if (core) {
            lines.add("listen.control=" + control(number));
            lines.add("data_dir=" + Files.createDirectories(folder.resolve("data-" + number)));
        } else {
            lines.add("listen.front=" + front(number));
            lines.add("listen.readiness=" + ip + ":" + readinessPort);
        }
        Path settings = Files.write(folder.resolve(role + "-" + number + ".conf"), lines);
        ProcessBuilder builder = new ProcessBuilder(command(role));
        Map<String, String> variables = builder.environment();
        variables.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        variables.put("WAXWINGHEAD_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log(role, number).toFile()));
        Process process = builder.start();
        synchronized (processes) {
            processes.add(process);
        }
        return process;
    }

    /** Returns the command that the deploy file gives for a role. */
    private static List<String> command(String role) throws IOException {
        String text = Files.readString(Path.of("deploy/system.toml"));
        Matcher run = Pattern.compile("\\[roles\\." + role + "\\]\\s*run = \"([^\"]*)\"").matcher(text);
        if (!run.find()) {
            throw new IOException("the deploy file has no command for " + role);
        }
        return List.of(run.group(1).split(" "));
    }

    /** Returns whether each front becomes ready in time. */
    boolean ready(int seconds) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        for (int front = 0; front < FRONTS; front++) {
            String address = net + (31 + front) + ":" + readinessPort;
            while (Http.call(address, "GET", "/ready", "", "", 1000).status() != 200) {
                if (System.nanoTime() - end > 0) {
                    return false;
                }
                Thread.sleep(100);
            }
        }
        return true;
    }

    /** Sends the manifest until it is acknowledged. */
    boolean configure(String manifest, int seconds) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        for (int core = 0; System.nanoTime() - end < 0; core = (core + 1) % CORES) {
            Http.Answer answer = Http.call(control(core), "POST", "/Config.Replace", "", manifest, 2000);
            if (answer.status() == 200) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    @Override
    public void close() {
        synchronized (processes) {
            processes.forEach(process -> process.destroyForcibly().onExit().join());
            processes.clear();
        }
    }
}
