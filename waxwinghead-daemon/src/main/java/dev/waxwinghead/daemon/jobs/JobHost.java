package dev.waxwinghead.daemon.jobs;

import dev.waxwinghead.coordination.journal.BootstrapMark;
import dev.waxwinghead.coordination.journal.FileReplicaStorage;
import dev.waxwinghead.coordination.log.LogStatus;
import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.coordination.replica.ReplicaCounters;
import dev.waxwinghead.coordination.replica.ReplicaNode;
import dev.waxwinghead.coordination.replica.ReplicaSettings;
import dev.waxwinghead.coordination.storage.ReplicaStorage;
import dev.waxwinghead.coordination.tcp.TcpPeerNetwork;
import dev.waxwinghead.daemon.classes.JobClassSection;
import dev.waxwinghead.daemon.classes.JobClassService;
import dev.waxwinghead.daemon.log.Event;
import dev.waxwinghead.daemon.part.PeriodicTask;
import dev.waxwinghead.daemon.part.ThreadPools;
import dev.waxwinghead.daemon.state.LogSharedState;
import dev.waxwinghead.daemon.state.SectionedStateMachine;
import dev.waxwinghead.daemon.state.SharedState;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.lifecycle.Closer;
import dev.waxwinghead.model.time.Ticker;
import dev.waxwinghead.scheduling.job.WorkerInstructions;
import dev.waxwinghead.scheduling.job.WorkerReport;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;

/**
 * Runs a host with a replica of the log that may act as the scheduler of submitted jobs.
 *
 * <p>The host finds its peers through its seeds and the members of the log, so that hosts can be added and replaced
 * without an operator.
 */
public final class JobHost implements AutoCloseable {
    /** The interval at which the peers are updated; well below the silence after which a voter is replaced. */
    private static final long PEER_UPDATE_INTERVAL_MILLIS = 500;

    /**
     * The size limit of a command: a document of several thousand job classes fits. Must fit into a frame of the peer
     * network.
     */
    private static final int MAX_COMMAND_BYTES = 2 * 1024 * 1024;

    private final JobHostSettings settings;
    private final ReplicaNode log;
    private final JobClassService classes;
    private final DataCentreDrains drains;
    private final JobEngine engine;
    private final JobService service;
    private final JobClassSection classSection;
    private final Closer closer;

    private JobHost(
            JobHostSettings settings,
            ReplicaNode log,
            JobClassService classes,
            DataCentreDrains drains,
            JobEngine engine,
            JobService service,
            JobClassSection classSection,
            Closer closer) {
        this.settings = settings;
        this.log = log;
        this.classes = classes;
        this.drains = drains;
        this.engine = engine;
        this.service = service;
        this.classSection = classSection;
        this.closer = closer;
    }

    /**
     * Opens the data folder and the peer port and starts the replica and the scheduler. Waits while the disk refuses
     * writes.
     *
     * @param settings the settings of this host, with a data folder
     * @param ticker the monotonic clock
     * @param meters the registry for metrics
     * @return the running host, never null
     * @throws WaxwingheadException if the folder or the port can't be opened
     */
    public static JobHost start(JobHostSettings settings, Ticker ticker, MeterRegistry meters) {
        Closer closer = Closer.create();
        try {
            return compose(settings, ticker, meters, closer);
        } catch (RuntimeException e) {
            closer.close();
            throw e;
        }
    }

    private static JobHost compose(JobHostSettings settings, Ticker ticker, MeterRegistry meters, Closer closer) {
        JobSection jobs = new JobSection();
        JobClassSection classes = JobClassSection.create();
        InterferenceSection interference = new InterferenceSection();
        Path folder = settings.dataFolder().orElseThrow();
        DiskWait disk = new DiskWait(settings.self(), folder);
        boolean mayFormGroup = disk.untilWritten(() -> BootstrapMark.writeIfFirstStart(folder, settings.firstStart()));
        ReplicaStorage storage =
                closer.register(disk.untilWritten(() -> FileReplicaStorage.open(folder, settings.cluster())));
        TcpPeerNetwork network = closer.register(PeerNetworkFactory.open(settings, ticker));
        ReplicaNode log = closer.register(ReplicaNode.start(
                replicaSettings(settings, mayFormGroup),
                SectionedStateMachine.of(List.of(jobs, classes, interference)),
                storage,
                network,
                ticker));
        registerMeters(log.counters(), meters);
        SharedState sharedState = LogSharedState.of(log);
        JobEngine engine = closer.register(new JobEngine(
                settings.self(),
                sharedState,
                jobs.table(),
                new SchedulingAuthority(sharedState, ticker, System::currentTimeMillis),
                settings.times(),
                classes::declares,
                new EngineEvents(meters),
                ticker,
                System::currentTimeMillis));
        meters.gauge("waxwinghead.job.workers.quarantined", engine, JobEngine::quarantinedWorkers);
        meters.gauge("waxwinghead.job.data.centres.drained", engine, JobEngine::drainedDataCentres);
        meters.gauge("waxwinghead.job.room.unlisted.millicores", engine, JobEngine::unlistedMillicores);
        jobs.onChange(engine::wake);
        interference.onChange(engine::adoptInterference);
        InterferenceRecorder recorder = new InterferenceRecorder(engine, sharedState, interference, ticker);
        closer.register(PeriodicTask.start(
                ThreadPools.timer("interference-recorder", 1, closer),
                InterferenceRecorder.INTERVAL_MILLIS,
                "interference-recorder",
                recorder::record));
        JobService service = new JobService(
                sharedState,
                classes,
                jobs.table(),
                engine::actingEpoch,
                () -> leaderInContact(log.status()),
                ticker,
                System::currentTimeMillis);
        JobHost host = new JobHost(
                settings,
                log,
                JobClassService.of(sharedState, classes),
                DataCentreDrains.of(sharedState, jobs.table(), ticker),
                engine,
                service,
                classes,
                closer);
        host.registerHandlers(network, ticker);
        engine.start();
        return host;
    }

    private static void registerMeters(ReplicaCounters counters, MeterRegistry meters) {
        FunctionCounter.builder("waxwinghead.log.writes.refused", counters, ReplicaCounters::refusedWrites)
                .register(meters);
        FunctionCounter.builder("waxwinghead.log.elections", counters, ReplicaCounters::elections)
                .register(meters);
        FunctionCounter.builder("waxwinghead.log.votes.refused", counters, ReplicaCounters::refusedVotes)
                .register(meters);
        FunctionCounter.builder("waxwinghead.log.leader.changes", counters, ReplicaCounters::leaderChanges)
                .register(meters);
        FunctionCounter.builder("waxwinghead.log.join.requests", counters, ReplicaCounters::joinRequests)
                .register(meters);
    }

    private static ReplicaSettings replicaSettings(JobHostSettings settings, boolean mayFormGroup) {
        List<HostId> founders = new ArrayList<>(settings.seeds().get());
        if (founders.isEmpty()) {
            founders.add(settings.self());
        }
        return ReplicaSettings.of(settings.self(), settings.self() + ":" + settings.peerPort(), founders)
                .withMaxCommandBytes(MAX_COMMAND_BYTES)
                .withVoterPolicy(ReplicaSettings.VoterPolicy.automatic(settings.voters(), mayFormGroup));
    }

    private void registerHandlers(TcpPeerNetwork network, Ticker ticker) {
        network.onCall(
                PeerChannel.JOBS,
                (from, request) -> CompletableFuture.completedFuture(request)
                        .thenApply(JobCallCodec::unpackAttempt)
                        .thenCompose(service::answer)
                        .thenApply(JobCallCodec::pack));
        network.onCall(PeerChannel.STATUS, (from, request) -> CompletableFuture.completedFuture(status().pack()));
        PeerDirectory directory = new PeerDirectory(network, settings.peerPort());
        ReplicaPeers peers =
                new ReplicaPeers(network, directory, settings.seeds(), log::status, log::recentSenders, ticker);
        peers.update();
        ScheduledExecutorService timer = ThreadPools.timer("peer-directory", 1, closer);
        closer.register(PeriodicTask.start(timer, PEER_UPDATE_INTERVAL_MILLIS, "peer-directory", peers::update));
    }

    private HostStatus status() {
        LogStatus status = log.status();
        List<HostId> members =
                status.members().stream().map(LogStatus.Member::host).toList();
        return new HostStatus(
                leaderInContact(status), members, classSection.current().isPresent(), engine.actingEpoch());
    }

    /**
     * Returns the service that replaces and reads the job classes.
     *
     * @return the service, never null
     */
    public JobClassService classes() {
        return classes;
    }

    /**
     * Returns the service that drains and undrains data centres.
     *
     * @return the service, never null
     */
    public DataCentreDrains drains() {
        return drains;
    }

    /**
     * Returns the host that leads the log.
     *
     * @return the leader, or empty if unknown or if the replica of this host has stopped or is out of contact
     */
    public Optional<HostId> leader() {
        return leaderInContact(log.status());
    }

    /** Returns the leader, or empty if it is only the last one that the replica knew. */
    private static Optional<HostId> leaderInContact(LogStatus status) {
        return status.leader().filter(leader -> status.majorityInReach());
    }

    /**
     * Returns whether this host acts as the scheduler of submitted jobs now.
     *
     * @return true while this host acts
     */
    public boolean acting() {
        return engine.acting();
    }

    /**
     * Answers a worker's report. The answer may be held back for less than a second, until the worker has to start or
     * stop a task.
     *
     * @param report the report
     * @return a future of the answer, which is empty if this host does not act or the report is out of date
     */
    public CompletableFuture<Optional<WorkerInstructions>> report(WorkerReport report) {
        return engine.report(report);
    }

    /**
     * Records that a worker exits.
     *
     * @param worker the worker
     * @param startedEpochMillis the start of the worker's incarnation in milliseconds since the epoch, or empty if the
     *     worker gives none
     * @return false if this host does not act
     */
    public boolean workerExited(WorkerId worker, OptionalLong startedEpochMillis) {
        return engine.workerExited(worker, startedEpochMillis);
    }

    /**
     * Returns a future that completes once the replica has failed and stopped.
     *
     * @return a future of the failure, which never completes while the host works
     */
    public CompletableFuture<WaxwingheadException> failure() {
        return log.failure();
    }

    /**
     * Hands the scheduling over to another host. This host remains a follower until it is closed, so that calls in
     * flight are answered.
     */
    public void handOver() {
        engine.close();
        log.resign();
    }

    @Override
    public void close() {
        Event.of("job-host-closing").with("host", settings.self()).write();
        closer.close();
    }
}
