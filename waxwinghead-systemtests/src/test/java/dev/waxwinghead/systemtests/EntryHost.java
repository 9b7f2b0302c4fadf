package dev.waxwinghead.systemtests;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/** Plays one entry host: its settings, which stay, and its process, which may end and start again. */
public final class EntryHost implements AutoCloseable {
    private static final Duration READY_BOUND = Duration.ofMinutes(1);

    private final String id;
    private final String dataCentre;
    private final Path dataFolder;
    private final Path log;
    private final Supplier<List<String>> clusterFlags;
    private final String callerPort;
    private final String workerPort;
    private final String operatorPort;
    private final String peerPort;
    private ManagedProcess process;

    /**
     * Prepares an entry host without starting it.
     *
     * @param id the host's id
     * @param dataCentre its data centre
     * @param dataFolder its data folder; null for a learner without a disk
     * @param log the file for its output
     * @param ports gives its ports
     * @param clusterFlags the flags that depend on the other hosts
     */
    EntryHost(
            String id,
            String dataCentre,
            Path dataFolder,
            Path log,
            LoopbackPorts ports,
            Supplier<List<String>> clusterFlags) {
        this.id = id;
        this.dataCentre = dataCentre;
        this.dataFolder = dataFolder;
        this.log = log;
        this.clusterFlags = clusterFlags;
        this.callerPort = ports.next();
        this.workerPort = ports.next();
        this.operatorPort = ports.next();
        this.peerPort = ports.next();
    }

    /** Returns the id. */
    public String id() {
        return id;
    }

    /** Returns the data centre. */
    public String dataCentre() {
        return dataCentre;
    }

    /** Returns the data folder, null for a learner. */
    public Path dataFolder() {
        return dataFolder;
    }

    /** Returns where callers connect, as {@code ip:port}. */
    public String callerPort() {
        return callerPort;
    }

    /** Returns where workers connect, as {@code ip:port}. */
    public String workerPort() {
        return workerPort;
    }

    /** Returns where operators connect, as {@code ip:port}. */
    public String operatorPort() {
        return operatorPort;
    }

    /** Returns where peers connect, as {@code ip:port}. */
    public String peerPort() {
        return peerPort;
    }

    /** Returns the newest process, null before the first start. */
    public ManagedProcess process() {
        return process;
    }

    /** Starts the process. */
    public void start() {
        List<String> flags = new ArrayList<>(List.of("--host", id, "--data-centre", dataCentre));
        flags.addAll(List.of("--caller-listen", callerPort, "--worker-listen", workerPort));
        flags.addAll(List.of("--operator-listen", operatorPort, "--peer-listen", peerPort));
        if (dataFolder != null) {
            flags.addAll(List.of("--data-folder", dataFolder.toString()));
        }
        flags.addAll(clusterFlags.get());
        process = ManagedProcess.start(id, "dev.waxwinghead.daemon.DaemonMain", log, flags);
    }

    /** Waits until it takes requests. */
    public void awaitReady() throws InterruptedException {
        Await.until(READY_BOUND, id + " is ready, see " + log, () -> {
            if (!process.running()) {
                throw new IllegalStateException(id + " has ended");
            }
            return Http.status(operatorPort, "/readyz") == 200;
        });
    }

    /** Returns what it says of itself. */
    public JsonNode status() throws Exception {
        return Http.getJson(operatorPort, "/v1/status");
    }

    /** Returns its revision of the configuration. */
    public long revision() throws Exception {
        return status().path("revision").asLong(-1);
    }

    @Override
    public void close() {
        if (process != null) {
            process.close();
        }
    }
}
