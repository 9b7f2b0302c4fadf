import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: three core hosts and two entry hosts, started as processes with the
 * commands of the deploy file. Also the stand-in for the operator and for clients.
 */
final class Fleet implements AutoCloseable {
    static final ObjectMapper JSON = new ObjectMapper();
    static final String HOST = "queues.example";
    static final String SERVICE = "seats";
    static final int CONTROL_PORT = 8166;
    private static final int FRONT_PORT = 8161;
    private static final int READINESS_PORT = 8167;

    final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();
    final Recorder recorder;
    private final String subnet;
    private final Path folder;
    private final Map<String, Process> processes = new TreeMap<>();
    private final AtomicInteger nextEntry = new AtomicInteger();

    Fleet(Recorder recorder) throws IOException {
        this.recorder = recorder;
        this.subnet = freeSubnet();
        this.folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Returns a subnet of 127.0.0.0/8 on whose first addresses the ports are free. */
    private static String freeSubnet() throws IOException {
        Random random = new Random();
        for (int attempt = 0; attempt < 50; attempt++) {
            String candidate = "127." + (20 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
            if (isFree(candidate + 11, CONTROL_PORT) && isFree(candidate + 21, FRONT_PORT)) {
                return candidate;
            }
        }
        throw new IOException("no free loopback addresses");
    }

    private static boolean isFree(String address, int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName(address), port));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    String address(int host) {
        return subnet + host;
    }

    List<String> coreAddresses() {
        return List.of(address(11) + ":" + CONTROL_PORT, address(12) + ":" + CONTROL_PORT, address(13) + ":" + CONTROL_PORT);
    }

    /** Starts all hosts and has the operator put the first manifest in force. */
    void start() throws Exception {
        for (int i = 1; i <= 3; i++) {
            startHost("core-" + i, "core", address(10 + i), "control", "listen.control=" + address(10 + i) + ":" + CONTROL_PORT);
        }
        for (int i = 1; i <= 2; i++) {
            startHost("entry-" + i, "entry", address(20 + i), "front",
                    "listen.front=" + address(20 + i) + ":" + FRONT_PORT,
                    "listen.readiness=" + address(20 + i) + ":" + READINESS_PORT);
        }
        putManifest(1);
        for (int i = 1; i <= 2; i++) {
            awaitReady(address(20 + i));
        }
    }

    private void startHost(String name, String role, String ip, String serves, String... listen) throws IOException {
        List<String> settings = new ArrayList<>(List.of(
                "node=" + name, "role=" + role, "class=" + (role.equals("entry") ? "front" : "core"),
                "serves=" + serves, "ip=" + ip, "zone=zone-a", "region=region-a", "zones.zone-a=region-a",
                "port_range=7720,7735", "seeds=" + String.join(",", coreAddresses()), "bootstrap=true",
                "loss_counts=" + role.equals("core"), "discovery=registry", "entry=vip", "heartbeat_ms=1500",
                "contracts=base,drain,config,cost,recover,sched,advice,upkeep,sharing",
                "tolerate.machines=1", "tolerate.zones=1", "tolerate.regions=0"));
        settings.addAll(Bounds.SETTINGS);
        settings.addAll(List.of("config_mode=highest", "commands=heartbeat"));
        settings.addAll(Arrays.asList(listen));
        if (role.equals("core")) {
            settings.add("data_dir=" + Files.createDirectories(folder.resolve("data-" + name)));
        }
        Path file = Files.write(folder.resolve(name + ".conf"), settings);
        ProcessBuilder builder = new ProcessBuilder(deployCommand(role));
        builder.environment().put("WAXWINGHEAD_NODE_FILE", file.toString());
        builder.redirectErrorStream(true).redirectOutput(folder.resolve(name + ".log").toFile());
        processes.put(name, builder.start());
        recorder.write("started %s, process %d", name, processes.get(name).pid());
    }

    /** Returns the command of a role in the deploy file. */
    private static List<String> deployCommand(String role) throws IOException {
        String file = Files.readString(Path.of("deploy/system.toml"));
        Matcher run = Pattern.compile("\\[roles\\." + role + "]\\s+run = \"([^\"]+)\"").matcher(file);
        if (!run.find()) {
            throw new IOException("the deploy file has no role " + role);
        }
        return List.of(run.group(1).split(" "));
    }

    /** Sends a manifest with three queues, of priority 0, 2 and 0, until a host acknowledges it. */
    void putManifest(int version) throws Exception {
        StringBuilder routes = new StringBuilder();
        int[] priorities = {0, 2, 0};
        for (int i = 0; i < priorities.length; i++) {
            routes.append(i == 0 ? "" : ",").append(String.format(Locale.ROOT,
                    "{\"name\":\"r-%d\",\"host\":\"%s\",\"path_prefix\":\"/q%d/\",\"kind\":\"non_idempotent\","
                            + "\"timeout_ms\":3000,\"slo_ms\":1000,\"priority\":%d,\"service\":\"%s\",\"attempts\":4,"
                            + "\"stretch\":2.0}",
                    i, HOST, i, priorities[i], SERVICE));
        }
        String manifest = "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[{\"name\":\"" + SERVICE
                + "\",\"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,"
                + "\"enforces_capacity\":true,\"standby\":false}],\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
        for (int attempt = 0; attempt < 100; attempt++) {
            String core = coreAddresses().get(attempt % 3);
            int status = status(request("http://" + core + "/Config.Replace", "POST", manifest, Duration.ofSeconds(3)));
            if (status == 200) {
                recorder.write("operator: version %d acknowledged by %s", version, core);
                return;
            }
            Thread.sleep(300);
        }
        throw new IOException("no host acknowledged the manifest");
    }

    private void awaitReady(String entry) throws Exception {
        String url = "http://" + entry + ":" + READINESS_PORT + "/ready";
        for (int attempt = 0; attempt < 100; attempt++) {
            if (status(request(url, "GET", null, Duration.ofSeconds(1))) == 200) {
                return;
            }
            Thread.sleep(200);
        }
        throw new IOException(entry + " does not become ready");
    }

    /** Hands a submission in, again under the same id until it is accepted. */
    void submit(String queue, String id, String body) throws Exception {
        for (int attempt = 1; attempt <= 20; attempt++) {
            int status = status(call("POST", queue, id, body));
            recorder.write("client: POST /%s/%s -> %s", queue, id, status == 0 ? "no answer" : status);
            if (status == 200) {
                return;
            }
            Thread.sleep(500);
        }
        throw new IOException("submission " + id + " was not accepted");
    }

    /** Cancels a submission, again until that is acknowledged. */
    void cancel(String queue, String id) throws Exception {
        for (int attempt = 1; attempt <= 20; attempt++) {
            int status = status(call("DELETE", queue, id, null));
            recorder.write("client: DELETE /%s/%s -> %s", queue, id, status == 0 ? "no answer" : status);
            if (status == 200 || status == 410) {
                return;
            }
            Thread.sleep(500);
        }
        throw new IOException("the cancelling of " + id + " was not acknowledged");
    }

    /** Returns the state of a submission, or the status or the lack of an answer as text. */
    String state(String queue, String id) throws Exception {
        HttpResponse<String> response = call("GET", queue, id, null);
        int status = status(response);
        return status == 200 ? JSON.readTree(response.body()).path("state").asText() : "status " + status;
    }

    private HttpResponse<String> call(String method, String queue, String id, String body) throws Exception {
        String entry = address(21 + nextEntry.getAndIncrement() % 2) + ":" + FRONT_PORT;
        return request("http://" + entry + "/" + queue + "/" + id, method, body, Duration.ofSeconds(3));
    }

    private HttpResponse<String> request(String url, String method, String body, Duration timeout)
            throws InterruptedException {
        HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create(url)).timeout(timeout);
        builder.header("Content-Type", "application/json").header("Deadline-Ms", "3000").header("Host", HOST);
        builder.method(method, body == null
                ? HttpRequest.BodyPublishers.noBody()
                : HttpRequest.BodyPublishers.ofString(body));
        try {
            return http.send(builder.build(), HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            return null;
        }
    }

    private static int status(HttpResponse<String> response) {
        return response == null ? 0 : response.statusCode();
    }

    /** Ends all processes and removes the temporary folder, unless the logs are to be kept. */
    @Override
    public synchronized void close() {
        processes.values().forEach(Process::destroy);
        processes.values().forEach(process -> {
            try {
                process.waitFor(1, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            process.destroyForcibly();
            process.onExit().join();
        });
        processes.clear();
        if (System.getenv("KEEP_LOGS") != null) {
            System.err.println("logs are kept in " + folder);
            return;
        }
        try (Stream<Path> files = Files.exists(folder) ? Files.walk(folder) : Stream.empty()) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            System.err.println("the temporary folder could not be removed: " + e.getMessage());
        }
    }

    static JsonNode parse(String text) throws IOException {
        return JSON.readTree(text);
    }
}
