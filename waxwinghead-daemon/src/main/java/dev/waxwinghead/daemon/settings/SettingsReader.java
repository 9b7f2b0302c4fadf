package dev.waxwinghead.daemon.settings;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.parser.ParseResult;
import com.github.rvesse.airline.parser.errors.ParseException;
import dev.waxwinghead.coordination.peer.PeerAddress;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import java.net.InetSocketAddress;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Reads {@link DaemonSettings} from flags and environment variables and validates them. */
public final class SettingsReader {
    private static final String DEFAULT_CALLER_LISTEN = "127.0.0.1:7200";
    private static final String DEFAULT_WORKER_LISTEN = "127.0.0.1:7201";
    private static final String DEFAULT_OPERATOR_LISTEN = "127.0.0.1:7202";
    private static final int MAX_PEERS = 64;
    private static final Set<Integer> VOTER_COUNTS = Set.of(1, 3, 5);
    private static final Duration MAX_DRAIN = Duration.ofHours(1);
    private static final Duration MIN_LEASE = Duration.ofSeconds(1);
    private static final Duration MAX_SCHEDULER_LEASE = Duration.ofHours(24);
    private static final Duration MAX_WORKER_LEASE = Duration.ofHours(1);

    private SettingsReader() {}

    /**
     * Reads the settings, or prints the help if it is requested.
     *
     * @param arguments the arguments of the program
     * @param environment the environment variables
     * @return the settings, empty if the help was printed
     * @throws SettingsException if any setting is invalid; lists all problems
     */
    public static Optional<DaemonSettings> read(List<String> arguments, Map<String, String> environment)
            throws SettingsException {
        ParseResult<DaemonCommand> result =
                SingleCommand.singleCommand(DaemonCommand.class).parseWithResult(arguments);
        SettingSource source = new SettingSource(environment);
        for (ParseException error : result.getErrors()) {
            source.addProblem(error.getMessage() + "; run with --help to see the flags");
        }
        source.throwIfProblems();
        DaemonCommand command = result.getCommand();
        if (command.help != null && command.help.showHelpIfRequested()) {
            return Optional.empty();
        }
        return Optional.of(check(command, source));
    }

    private static DaemonSettings check(DaemonCommand command, SettingSource source) throws SettingsException {
        Optional<String> cluster = source.required(
                "--cluster", command.cluster, text -> HostId.of(text).value());
        Optional<HostId> host = source.required("--host", command.host, HostId::of);
        Optional<DataCentreId> dataCentre = source.required("--data-centre", command.dataCentre, DataCentreId::of);
        Optional<List<PeerAddress>> peers = source.required("--peers", command.peers, SettingParsers::peers);
        Optional<List<HostId>> voters =
                source.required("--initial-voters", command.initialVoters, SettingParsers::hosts);
        InetSocketAddress caller = source.withDefault(
                "--caller-listen", command.callerListen, DEFAULT_CALLER_LISTEN, SettingParsers::address);
        InetSocketAddress worker = source.withDefault(
                "--worker-listen", command.workerListen, DEFAULT_WORKER_LISTEN, SettingParsers::address);
        InetSocketAddress operator = source.withDefault(
                "--operator-listen", command.operatorListen, DEFAULT_OPERATOR_LISTEN, SettingParsers::address);
        Optional<InetSocketAddress> peerListen =
                source.optional("--peer-listen", command.peerListen, SettingParsers::address);
        Optional<Path> folder = source.optional("--data-folder", command.dataFolder, SettingsReader::path);
        Duration drain = source.withDefault(
                "--drain-timeout", command.drainTimeout, "30s", SettingParsers.duration(Duration.ZERO, MAX_DRAIN));
        Duration schedulerLease = source.withDefault(
                "--scheduler-lease",
                command.schedulerLease,
                "60s",
                SettingParsers.duration(MIN_LEASE, MAX_SCHEDULER_LEASE));
        Duration workerLease = source.withDefault(
                "--worker-lease", command.workerLease, "10s", SettingParsers.duration(MIN_LEASE, MAX_WORKER_LEASE));
        int callerThreads =
                source.withDefault("--caller-threads", command.callerThreads, "32", SettingParsers.integer(1, 1_024));

        peers.ifPresent(list -> checkPeers(source, list, host, dataCentre));
        voters.ifPresent(list -> checkVoters(source, list, peers, host, folder));
        source.throwIfProblems();
        return new DaemonSettings(
                cluster.orElseThrow(),
                host.orElseThrow(),
                dataCentre.orElseThrow(),
                caller,
                worker,
                operator,
                peerListen.orElseGet(() -> find(peers.orElseThrow(), host.orElseThrow())
                        .orElseThrow()
                        .address()),
                peers.orElseThrow(),
                voters.orElseThrow(),
                folder,
                drain,
                schedulerLease,
                workerLease,
                callerThreads);
    }

    private static void checkPeers(
            SettingSource source, List<PeerAddress> peers, Optional<HostId> host, Optional<DataCentreId> dataCentre) {
        Set<HostId> seen = new HashSet<>();
        for (PeerAddress peer : peers) {
            if (!seen.add(peer.host())) {
                source.addProblem("--peers", peer.host().value(), "is listed twice", "name each entry host once");
            }
        }
        if (peers.size() > MAX_PEERS) {
            source.addProblem("--peers", peers.size() + " hosts", "too many", "name at most " + MAX_PEERS);
        }
        if (host.isPresent()) {
            checkOwnPeer(source, find(peers, host.get()), host.get(), dataCentre);
        }
    }

    private static void checkOwnPeer(
            SettingSource source, Optional<PeerAddress> own, HostId host, Optional<DataCentreId> dataCentre) {
        if (own.isEmpty()) {
            source.addProblem("--host", host.value(), "is not one of --peers", "add it to --peers on every entry host");
        } else if (dataCentre.isPresent() && !own.get().dataCentre().equals(dataCentre.get())) {
            source.addProblem(
                    "--data-centre",
                    dataCentre.get().value(),
                    "--peers says " + own.get().dataCentre(),
                    "give the same data centre in both");
        }
    }

    private static void checkVoters(
            SettingSource source,
            List<HostId> voters,
            Optional<List<PeerAddress>> peers,
            Optional<HostId> host,
            Optional<Path> folder) {
        if (!VOTER_COUNTS.contains(voters.size()) || new HashSet<>(voters).size() != voters.size()) {
            source.addProblem(
                    "--initial-voters",
                    voters.toString(),
                    "not a valid set of voters",
                    "name 1, 3 or 5 different hosts");
        }
        for (HostId voter : voters) {
            if (peers.isPresent() && find(peers.get(), voter).isEmpty()) {
                source.addProblem("--initial-voters", voter.value(), "is not one of --peers", "name hosts of --peers");
            }
        }
        if (host.isPresent() && voters.contains(host.get()) && folder.isEmpty()) {
            source.addProblem(
                    "--data-folder is missing, but this host is an initial voter; give it a folder on a disk");
        }
    }

    private static Optional<PeerAddress> find(List<PeerAddress> peers, HostId host) {
        return peers.stream().filter(peer -> peer.host().equals(host)).findFirst();
    }

    private static Path path(String text) {
        try {
            return Path.of(text);
        } catch (InvalidPathException e) {
            throw new IllegalArgumentException(e.getReason() + "; give the path of a folder", e);
        }
    }
}
