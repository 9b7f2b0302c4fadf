package dev.waxwinghead.systemtests;

import com.fasterxml.jackson.databind.JsonNode;
import dev.waxwinghead.model.lifecycle.Closer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BinaryOperator;
import java.util.stream.Collectors;

/**
 * Runs the real programs as processes on free loopback ports: entry hosts, stand-in workers and the command line.
 *
 * <p>{@code create}, {@code addHost} for each entry host, {@code start}; {@code close} ends everything. Data folders,
 * logs and the workers' record lie in the folder given.
 */
public final class ProcessCluster implements AutoCloseable {
    private static final Duration LEADER_BOUND = Duration.ofMinutes(1);
    private static final Duration CLI_BOUND = Duration.ofMinutes(1);

    private final Path folder;
    private final LoopbackPorts ports = new LoopbackPorts();
    private final Map<String, EntryHost> hosts = new LinkedHashMap<>();
    private final Map<String, ManagedProcess> workers = new LinkedHashMap<>();
    private final List<String> extraFlags = new ArrayList<>();
    private final Closer closer = Closer.create();
    private BinaryOperator<String> route = (from, to) -> hosts.get(to).peerPort();
    private int commands;

    private ProcessCluster(Path folder) {
        this.folder = folder;
    }

    /**
     * Returns a cluster without hosts.
     *
     * @param folder an empty folder for data, logs and records
     * @return the cluster, never null
     */
    public static ProcessCluster create(Path folder) {
        return new ProcessCluster(folder);
    }

    /** Adds an entry host with a disk, which votes from the start. */
    public EntryHost addVoter(String id, String dataCentre) {
        return add(id, dataCentre, folder.resolve("data-" + id));
    }

    /** Adds an entry host without a disk. */
    public EntryHost addLearner(String id, String dataCentre) {
        return add(id, dataCentre, null);
    }

    private EntryHost add(String id, String dataCentre, Path dataFolder) {
        EntryHost host =
                new EntryHost(id, dataCentre, dataFolder, folder.resolve(id + ".log"), ports, () -> clusterFlags(id));
        hosts.put(id, closer.register(host));
        return host;
    }

    /** Adds flags for every entry host, as {@code --worker-lease 3s}. */
    public ProcessCluster flags(String... flags) {
        extraFlags.addAll(List.of(flags));
        return this;
    }

    /**
     * Sets the address at which one host looks for another, so that a test can put a relay between them.
     *
     * @param route gives {@code ip:port} for the ids of the host that connects and the host that listens
     */
    public void route(BinaryOperator<String> route) {
        this.route = route;
    }

    private List<String> clusterFlags(String id) {
        String peers = hosts.values().stream()
                .map(host -> host.id() + "@" + host.dataCentre() + "=" + address(id, host))
                .collect(Collectors.joining(","));
        String voters = hosts.values().stream()
                .filter(host -> host.dataFolder() != null)
                .map(EntryHost::id)
                .collect(Collectors.joining(","));
        List<String> flags =
                new ArrayList<>(List.of("--cluster", "systemtest", "--peers", peers, "--initial-voters", voters));
        flags.addAll(extraFlags);
        return flags;
    }

    private String address(String from, EntryHost to) {
        return from.equals(to.id()) ? to.peerPort() : route.apply(from, to.id());
    }

    /** Starts all entry hosts and waits until each is ready and reaches a majority. */
    public void start() throws InterruptedException {
        hosts.values().forEach(EntryHost::start);
        for (EntryHost host : hosts.values()) {
            host.awaitReady();
            awaitMajority(host);
        }
    }

    /** Waits until an entry host reaches a majority that has a leader. */
    public void awaitMajority(EntryHost host) throws InterruptedException {
        Await.until(LEADER_BOUND, host.id() + " knows a leader", () -> {
            JsonNode log = host.status().path("log");
            return log.path("majorityInReach").asBoolean()
                    && !log.path("leader").isNull();
        });
    }

    /** Returns an entry host. */
    public EntryHost host(String id) {
        return hosts.get(id);
    }

    /** Returns all entry hosts. */
    public List<EntryHost> hosts() {
        return List.copyOf(hosts.values());
    }

    /** Returns the entry host that leads the log, as a running host sees it. */
    public EntryHost leader() throws Exception {
        for (EntryHost host : hosts.values()) {
            if (host.process().running()) {
                return hosts.get(host.status().path("log").path("leader").asText());
            }
        }
        throw new IllegalStateException("no entry host runs");
    }

    /**
     * Starts a process of stand-in workers.
     *
     * @param id the worker's id
     * @param dataCentre its data centre, whose entry hosts it polls
     * @param flags further flags, as {@code --labels pool=general}
     * @return the process, never null
     */
    public ManagedProcess startWorker(String id, String dataCentre, String... flags) {
        String workerPorts = hosts.values().stream()
                .filter(host -> host.dataCentre().equals(dataCentre))
                .map(EntryHost::workerPort)
                .collect(Collectors.joining(","));
        List<String> arguments = new ArrayList<>(List.of("worker", "--worker-ports", workerPorts, "--id", id));
        arguments.addAll(List.of("--data-centre", dataCentre, "--poll-millis", "200"));
        arguments.addAll(List.of("--record", record().toString()));
        arguments.addAll(List.of(flags));
        ManagedProcess worker = closer.register(ManagedProcess.start(
                id, "dev.waxwinghead.testkit.TestkitMain", folder.resolve(id + ".log"), arguments));
        workers.put(id, worker);
        return worker;
    }

    /** Returns a worker's newest process. */
    public ManagedProcess worker(String id) {
        return workers.get(id);
    }

    /** Returns the file that workers append to; its lines are described at the flag {@code --record}. */
    public Path record() {
        return folder.resolve("record");
    }

    /** Returns the workers' record so far. */
    public List<RecordLine> recordLines() throws IOException {
        if (!Files.exists(record())) {
            return List.of();
        }
        return Files.readAllLines(record()).stream().map(RecordLine::parse).toList();
    }

    /** Returns the operator ports as the command line takes them. */
    public String operatorPorts() {
        return hosts.values().stream().map(EntryHost::operatorPort).collect(Collectors.joining(","));
    }

    /**
     * Runs the command line as a process.
     *
     * @param arguments the command and its arguments; {@code --entry-hosts} is added from all hosts
     * @return its exit status and output
     */
    public CommandResult waxwinghead(String... arguments) throws IOException, InterruptedException {
        List<String> words = new ArrayList<>(List.of(arguments));
        words.addAll(List.of("--entry-hosts", operatorPorts()));
        Path output = folder.resolve("command-" + commands++ + ".out");
        Path errors = folder.resolve(output.getFileName() + ".err");
        ProcessBuilder builder = new ProcessBuilder(ManagedProcess.command("dev.waxwinghead.cli.CliMain", words));
        builder.environment().put("CLASSPATH", ManagedProcess.classPath());
        Process process = builder.redirectOutput(output.toFile())
                .redirectError(errors.toFile())
                .start();
        if (!process.waitFor(CLI_BOUND.toMillis(), TimeUnit.MILLISECONDS)) {
            process.destroyForcibly();
            throw new AssertionError("the command has not ended: " + words);
        }
        return new CommandResult(process.exitValue(), read(output), read(errors));
    }

    /** Writes manifests to a file and applies it. */
    public CommandResult apply(String manifests, String... flags) throws IOException, InterruptedException {
        Path file = Files.writeString(folder.resolve("manifests-" + commands + ".yaml"), manifests);
        List<String> words = new ArrayList<>(List.of("apply", "-f", file.toString()));
        words.addAll(List.of(flags));
        return waxwinghead(words.toArray(String[]::new));
    }

    private static String read(Path file) throws IOException {
        return Files.readString(file, StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        closer.close();
    }

    /**
     * Holds how a command ended.
     *
     * @param status the exit status
     * @param output the standard output
     * @param errors the standard error
     */
    public record CommandResult(int status, String output, String errors) {}
}
