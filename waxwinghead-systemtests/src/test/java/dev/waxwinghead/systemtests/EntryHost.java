package dev.waxwinghead.systemtests;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/** Runs one entry host as a process that can be ended and restarted with the same settings. */
public final class EntryHost implements AutoCloseable {
    private static final Duration READY_TIMEOUT = Duration.ofMinutes(1);

    private final String id;
    private final String dataCentre;
    private final Path dataFolder;
    private final Path log;
    private final Supplier<List<String>> clusterFlags;
    private final String callerAddress;
    private final String workerAddress;
    private final String operatorAddress;
    private final String peerAddress;
    private ManagedProcess process;

    /**
     * Prepares an entry host without starting it.
     *
     * @param id the id of the host
     * @param dataCentre the data centre of the host
     * @param dataFolder the data folder, null for a learner without a disk
     * @param log the file to which the output of the process is appended
     * @param ports the source of free ports
     * @param clusterFlags supplies the flags that depend on the other hosts, at each start
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
        this.callerAddress = ports.next();
        this.workerAddress = ports.next();
        this.operatorAddress = ports.next();
        this.peerAddress = ports.next();
    }

    /** Returns the id. */
    public String id() {
        return id;
    }

    /** Returns the data centre. */
    public String dataCentre() {
        return dataCentre;
    }

    /** Returns the data folder, null for a learner without a disk. */
    public Path dataFolder() {
        return dataFolder;
    }

    /** Returns the address to which callers connect, as {@code ip:port}. */
    public String callerAddress() {
        return callerAddress;
    }

    /** Returns the address to which workers connect, as {@code ip:port}. */
    public String workerAddress() {
        return workerAddress;
    }

    /** Returns the address to which operators connect, as {@code ip:port}. */
    public String operatorAddress() {
        return operatorAddress;
    }

    /** Returns the address to which peers connect, as {@code ip:port}. */
    public String peerAddress() {
        return peerAddress;
    }

    /** Returns the most recently started process, null before the first start. */
    public ManagedProcess process() {
        return process;
    }

    /** Starts the process without waiting until the host is ready. */
    public void start() {
        List<String> flags = new ArrayList<>(List.of("--host", id, "--data-centre", dataCentre));
        flags.addAll(List.of("--caller-listen", callerAddress, "--worker-listen", workerAddress));
        flags.addAll(List.of("--operator-listen", operatorAddress, "--peer-listen", peerAddress));
        if (dataFolder != null) {
            flags.addAll(List.of("--data-folder", dataFolder.toString()));
        }
        flags.addAll(clusterFlags.get());
        process = ManagedProcess.start(id, "dev.waxwinghead.daemon.DaemonMain", log, flags);
    }

    /** Waits until the host reports that it is ready for requests. */
    public void awaitReady() throws InterruptedException {
        Await.until(READY_TIMEOUT, id + " is ready, see " + log, () -> {
            if (!process.isRunning()) {
                throw new IllegalStateException(id + " exited before it was ready");
            }
            return Http.status(operatorAddress, "/readyz") == 200;
        });
    }

    /** Returns the status that the host reports, as JSON. */
    public JsonNode status() throws Exception {
        return Http.getJson(operatorAddress, "/v1/status");
    }

    /** Returns the revision of the configuration in force on the host, -1 if the status has none. */
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
