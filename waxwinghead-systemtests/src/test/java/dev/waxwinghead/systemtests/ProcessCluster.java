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
 * Runs the programs as processes on free loopback ports: entry hosts, simulated workers and the command line.
 *
 * <p>Add each entry host with {@link #addVoter} or {@link #addLearner} before {@link #start}. {@link #close} ends all
 * processes. Data folders, logs and the record file of the workers are kept in the given folder.
 */
public final class ProcessCluster implements AutoCloseable {
    private static final Duration LEADER_TIMEOUT = Duration.ofMinutes(1);
    private static final Duration COMMAND_TIMEOUT = Duration.ofMinutes(1);

    private final Path folder;
    private final LoopbackPorts ports = new LoopbackPorts();
    private final Map<String, EntryHost> hosts = new LinkedHashMap<>();
    private final Map<String, ManagedProcess> workers = new LinkedHashMap<>();
    private final List<String> extraFlags = new ArrayList<>();
    private final Closer closer = Closer.create();
    private BinaryOperator<String> route = (from, to) -> hosts.get(to).peerAddress();
    private int commandCount;

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

    /** Adds an entry host with a data folder that is an initial voter. */
    public EntryHost addVoter(String id, String dataCentre) {
        return add(id, dataCentre, folder.resolve("data-" + id));
    }

    /** Adds an entry host without a data folder. */
    public EntryHost addLearner(String id, String dataCentre) {
        return add(id, dataCentre, null);
    }

    private EntryHost add(String id, String dataCentre, Path dataFolder) {
        EntryHost host =
                new EntryHost(id, dataCentre, dataFolder, folder.resolve(id + ".log"), ports, () -> clusterFlags(id));
        hosts.put(id, closer.register(host));
        return host;
    }

    /** Adds flags for every entry host, such as {@code --worker-lease 3s}. */
    public ProcessCluster addFlags(String... flags) {
        extraFlags.addAll(List.of(flags));
        return this;
    }

    /**
     * Sets the addresses at which hosts connect to each other, so that a test can place relays between them.
     *
     * @param route returns {@code ip:port} for the id of the connecting host and the id of the listening host
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
        return from.equals(to.id()) ? to.peerAddress() : route.apply(from, to.id());
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
        Await.until(LEADER_TIMEOUT, host.id() + " knows a leader", () -> {
            JsonNode log = host.status().path("log");
            return log.path("majorityInReach").asBoolean()
                    && !log.path("leader").isNull();
        });
    }

    /** Returns an entry host, null if the id is unknown. */
    public EntryHost host(String id) {
        return hosts.get(id);
    }

    /** Returns all entry hosts. */
    public List<EntryHost> hosts() {
        return List.copyOf(hosts.values());
    }

    /** Returns the leader of the log as the first running host reports it, null if that host knows none. */
    public EntryHost leader() throws Exception {
        for (EntryHost host : hosts.values()) {
            if (host.process().isRunning()) {
                return hosts.get(host.status().path("log").path("leader").asText());
            }
        }
        throw new IllegalStateException("no entry host is running");
    }

    /**
     * Starts a process of one or more simulated workers.
     *
     * @param id the id of the worker
     * @param dataCentre the data centre whose entry hosts the worker polls
     * @param flags further flags, such as {@code --labels pool=general}
     * @return the process, never null
     */
    public ManagedProcess startWorker(String id, String dataCentre, String... flags) {
        String workerPorts = hosts.values().stream()
                .filter(host -> host.dataCentre().equals(dataCentre))
                .map(EntryHost::workerAddress)
                .collect(Collectors.joining(","));
        List<String> arguments = new ArrayList<>(List.of("worker", "--worker-ports", workerPorts, "--id", id));
        arguments.addAll(List.of("--data-centre", dataCentre, "--poll-millis", "200"));
        arguments.addAll(List.of("--record", recordFile().toString()));
        arguments.addAll(List.of(flags));
        ManagedProcess worker = closer.register(ManagedProcess.start(
                id, "dev.waxwinghead.testkit.TestkitMain", folder.resolve(id + ".log"), arguments));
        workers.put(id, worker);
        return worker;
    }

    /** Returns the most recently started process of a worker, null if there is none. */
    public ManagedProcess worker(String id) {
        return workers.get(id);
    }

    /**
     * Returns the file to which workers append their events, as described at the flag {@code --record};
     * {@link RecordLine} parses a line.
     */
    public Path recordFile() {
        return folder.resolve("record");
    }

    /** Returns the events that workers have recorded so far. */
    public List<RecordLine> recordLines() throws IOException {
        if (!Files.exists(recordFile())) {
            return List.of();
        }
        return Files.readAllLines(recordFile()).stream().map(RecordLine::parse).toList();
    }

    /** Returns the operator addresses of all entry hosts, separated by commas. */
    public String operatorAddresses() {
        return hosts.values().stream().map(EntryHost::operatorAddress).collect(Collectors.joining(","));
    }

    /**
     * Runs the command line as a process.
     *
     * @param arguments the command and its arguments; {@code --entry-hosts} is added with all hosts
     * @return the exit status and output, never null
     */
    public CommandResult runCommand(String... arguments) throws IOException, InterruptedException {
        List<String> commandLine = new ArrayList<>(List.of(arguments));
        commandLine.addAll(List.of("--entry-hosts", operatorAddresses()));
        Path output = folder.resolve("command-" + commandCount++ + ".out");
        Path errors = folder.resolve(output.getFileName() + ".err");
        ProcessBuilder builder = new ProcessBuilder(ManagedProcess.command("dev.waxwinghead.cli.CliMain", commandLine));
        builder.environment().put("CLASSPATH", ManagedProcess.classPath());
        Process process = builder.redirectOutput(output.toFile())
                .redirectError(errors.toFile())
                .start();
        if (!process.waitFor(COMMAND_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
            process.destroyForcibly();
            throw new AssertionError("the command has not exited in time: " + commandLine);
        }
        return new CommandResult(process.exitValue(), read(output), read(errors));
    }

    /** Writes manifests to a file and runs {@code apply} on that file. */
    public CommandResult apply(String manifests, String... flags) throws IOException, InterruptedException {
        Path file = Files.writeString(folder.resolve("manifests-" + commandCount + ".yaml"), manifests);
        List<String> commandLine = new ArrayList<>(List.of("apply", "-f", file.toString()));
        commandLine.addAll(List.of(flags));
        return runCommand(commandLine.toArray(String[]::new));
    }

    private static String read(Path file) throws IOException {
        return Files.readString(file, StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        closer.close();
    }

    /**
     * Holds the result of a command.
     *
     * @param status the exit status
     * @param output the text of the standard output
     * @param errors the text of the standard error
     */
    public record CommandResult(int status, String output, String errors) {}
}
