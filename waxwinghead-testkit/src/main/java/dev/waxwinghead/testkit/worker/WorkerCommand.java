package dev.waxwinghead.testkit.worker;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.label.Labels;
import dev.waxwinghead.model.resource.Resources;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;

/**
 * Runs one or more simulated workers, which leave on SIGTERM.
 *
 * @since 0.1
 */
@Command(name = "worker", description = "Plays one or more workers until SIGTERM")
public final class WorkerCommand implements Callable<Integer> {
    private static final Logger LOG = Logger.getLogger(WorkerCommand.class);
    private static final Duration LEAVE_MARGIN = Duration.ofSeconds(5);

    @AirlineModule
    HelpOption<WorkerCommand> help;

    @Required
    @Option(name = "--worker-ports", description = "entry hosts' worker ports, ip:port,ip:port")
    String workerPorts;

    @Required
    @Option(name = "--id", description = "id of the worker, or the start of the ids if there are several")
    String id;

    @Option(name = "--data-centre", description = "data centre (default dc1)")
    String dataCentre = "dc1";

    @Option(name = "--rack", description = "rack, or the start of the racks' ids (default r1)")
    String rack = "r1";

    @Option(name = "--millicores", description = "processors in thousandths of a core (default 16000)")
    long millicores = 16_000;

    @Option(name = "--memory-bytes", description = "memory in bytes (default 60000000000)")
    long memoryBytes = 60_000_000_000L;

    @Option(name = "--accelerators", description = "accelerators (default 0)")
    long accelerators;

    @Option(name = "--labels", description = "labels, key=value,key=value (default none)")
    String labels = "";

    @Option(name = "--workers", description = "how many workers this process plays, 1 to 1000 (default 1)")
    int workers = 1;

    @Option(name = "--workers-per-rack", description = "workers in a rack if there are several (default 8)")
    int workersPerRack = 8;

    @Option(name = "--incarnation", description = "incarnation (default the time of start in epoch milliseconds)")
    long incarnation = System.currentTimeMillis();

    @Option(name = "--poll-millis", description = "longest pause between polls in milliseconds (default 500)")
    long pollMillis = 500;

    @Option(name = "--drain-millis", description = "longest time to leave in milliseconds (default 10000)")
    long drainMillis = 10_000;

    @Option(name = "--usage-lag-millis", description = "how late usage is reported in milliseconds (default 2000)")
    long usageLagMillis = 2_000;

    @Option(name = "--fail-all", description = "every batch task on the workers fails")
    boolean failAll;

    @Option(name = "--record", description = "file to append what the tasks did to (default none)")
    String record;

    @Override
    public Integer call() throws InterruptedException {
        if (help.showHelpIfRequested()) {
            return 0;
        }
        WorkerProcess process = WorkerProcess.start(options());
        Runtime.getRuntime().addShutdownHook(new Thread(() -> leave(process), "leave"));
        LOG.infof("workers ready id=%s workers=%d dataCentre=%s", id, workers, dataCentre);
        new CountDownLatch(1).await();
        return 0;
    }

    private void leave(WorkerProcess process) {
        CompletableFuture<Void> left = process.leave();
        try {
            left.get(drainMillis + LEAVE_MARGIN.toMillis(), TimeUnit.MILLISECONDS);
            LOG.infof("workers left id=%s", id);
            Runtime.getRuntime().halt(0);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (Exception e) {
            LOG.errorf(e, "workers failed to leave id=%s", id);
        }
        Runtime.getRuntime().halt(1);
    }

    private WorkerOptions options() {
        if (workers < 1 || workers > 1_000 || workersPerRack < 1 || pollMillis < 1 || drainMillis < 0) {
            throw WaxwingheadException.of(
                    ErrorKind.INVALID_INPUT, "a number is out of range", "run with --help to see the ranges");
        }
        return new WorkerOptions(
                List.of(workerPorts.split(",")),
                id,
                DataCentreId.of(dataCentre),
                rack,
                Resources.of(millicores, memoryBytes, accelerators),
                labels(),
                workers,
                workersPerRack,
                incarnation,
                Duration.ofMillis(pollMillis),
                Duration.ofMillis(drainMillis),
                Duration.ofMillis(usageLagMillis),
                failAll,
                record == null ? null : Path.of(record));
    }

    private Labels labels() {
        Map<String, String> values = new TreeMap<>();
        for (String label : labels.isEmpty() ? new String[0] : labels.split(",")) {
            int equals = label.indexOf('=');
            if (equals < 1) {
                throw WaxwingheadException.of(
                        ErrorKind.INVALID_INPUT, "label '" + label + "' has no '='", "write the label as key=value");
            }
            values.put(label.substring(0, equals), label.substring(equals + 1));
        }
        return Labels.of(values);
    }
}
