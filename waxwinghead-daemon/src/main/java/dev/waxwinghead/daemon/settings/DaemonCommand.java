package dev.waxwinghead.daemon.settings;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.Parser;
import com.github.rvesse.airline.parser.errors.handlers.CollectAll;

/** Declares the daemon's flags. All flags are read as text; {@link SettingsReader} validates them together. */
@Command(
        name = "waxwingheadd",
        description =
                "Serves callers, workers and operators on one entry host. Each flag has a variable: --peer-listen "
                        + "is WAXWINGHEAD_PEER_LISTEN. A flag goes before its variable.")
@Parser(errorHandler = CollectAll.class)
public final class DaemonCommand {
    @AirlineModule
    HelpOption<DaemonCommand> help;

    @Option(
            name = "--cluster",
            title = "name",
            description = "Name of the cluster; peers of another are refused. Required.")
    String cluster;

    @Option(name = "--host", title = "id", description = "Id of this entry host, one of --peers. Required.")
    String host;

    @Option(name = "--data-centre", title = "id", description = "Data centre of this entry host. Required.")
    String dataCentre;

    @Option(
            name = "--caller-listen",
            title = "ip:port",
            description = "Where callers connect; IP number and port 0 to 65535. Default 127.0.0.1:7200.")
    String callerListen;

    @Option(
            name = "--worker-listen",
            title = "ip:port",
            description = "Where workers and upstreams connect. Default 127.0.0.1:7201.")
    String workerListen;

    @Option(
            name = "--operator-listen",
            title = "ip:port",
            description = "Where operators connect, also for metrics. Default 127.0.0.1:7202.")
    String operatorListen;

    @Option(
            name = "--peer-listen",
            title = "ip:port",
            description = "Where other entry hosts connect. Default: this host's address in --peers.")
    String peerListen;

    @Option(
            name = "--peers",
            title = "id@dataCentre=ip:port,...",
            description = "Peer ports of all entry hosts, this one among them; 1 to 64. Required.")
    String peers;

    @Option(
            name = "--initial-voters",
            title = "id,...",
            description =
                    "Entry hosts that form the first group: 1, 3 or 5 of --peers, each with a data folder. Required.")
    String initialVoters;

    @Option(
            name = "--data-folder",
            title = "path",
            description = "Folder for durable state. Without it this host follows and never votes.")
    String dataFolder;

    @Option(
            name = "--drain-timeout",
            title = "time",
            description = "How long a graceful shutdown may take, 0s to 1h; as 500ms, 30s or 2m. Default 30s.")
    String drainTimeout;

    @Option(
            name = "--scheduler-lease",
            title = "time",
            description =
                    "How long a scheduler cut off from the majority goes on renewing the leases of running tasks, "
                            + "1s to 24h. Default 60s.")
    String schedulerLease;

    @Option(
            name = "--worker-lease",
            title = "time",
            description = "How long a worker runs its tasks without contact to a scheduler, 1s to 1h. Default 10s.")
    String workerLease;

    @Option(
            name = "--caller-threads",
            title = "number",
            description = "Threads that serve callers, 1 to 1024. Default 32.")
    String callerThreads;

    /** Creates the command; called by the command line library. */
    public DaemonCommand() {}
}
