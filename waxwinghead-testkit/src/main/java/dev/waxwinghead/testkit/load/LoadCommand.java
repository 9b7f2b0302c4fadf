package dev.waxwinghead.testkit.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.manifest.Manifests;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;

/**
 * Sends load to entry hosts and prints a JSON summary. Exits with status 1 if {@code --require-all} is given and any
 * request was not answered correctly and completely.
 *
 * @since 0.1
 */
@Command(name = "load", description = "Sends requests to entry hosts and prints a JSON summary")
public final class LoadCommand implements Callable<Integer> {
    private static final String FEED = "feed";

    @AirlineModule
    HelpOption<LoadCommand> help;

    @Required
    @Option(name = "--entry-hosts", description = "entry hosts' caller ports, ip:port,ip:port")
    String entryHosts;

    @Required
    @Option(name = "--service", description = "service to call")
    String service;

    @Option(name = "--path", description = "path behind the service; {n} is the request's number (default /echo?n={n})")
    String path = "/echo?n={n}";

    @Option(name = "--method", description = "HTTP method (default GET)")
    String method = "GET";

    @Option(name = "--body-bytes", description = "size of each request's body in bytes (default 0)")
    int bodyBytes;

    @Option(name = "--tenant", description = "tenant (default none)")
    String tenant;

    @Option(name = "--class", description = "traffic class (default none)")
    String trafficClass;

    @Option(name = "--kind", description = "idempotent, keyed or feed; feeds are held open (default none)")
    String kind;

    @Option(name = "--key-prefix", description = "start of the idempotency keys; the number follows (default none)")
    String keyPrefix;

    @Option(name = "--deadline-ms", description = "how long a caller waits in milliseconds (default 5000)")
    long deadlineMillis = 5_000;

    @Option(name = "--rate", description = "requests a second of an open loop; 0 for a closed loop (default 0)")
    double ratePerSecond;

    @Option(name = "--concurrency", description = "requests in flight at most (default 8; 1000 in an open loop)")
    int concurrency;

    @Option(name = "--seconds", description = "how long to send in seconds (default 5)")
    double seconds = 5;

    @Option(name = "--require-all", description = "end with status 1 unless every request was answered whole")
    boolean requireAll;

    @Override
    public Integer call() throws InterruptedException, JsonProcessingException {
        if (help.showHelpIfRequested()) {
            return 0;
        }
        LoadPlan plan = plan();
        LoadSummary summary = FEED.equals(kind) ? FeedRun.execute(plan) : LoadRun.execute(plan);
        System.out.println(
                Manifests.jsonMapper().writerWithDefaultPrettyPrinter().writeValueAsString(summary));
        return requireAll && !summary.allAnswered() ? 1 : 0;
    }

    private LoadPlan plan() {
        if (bodyBytes < 0 || deadlineMillis < 1 || ratePerSecond < 0 || concurrency < 0 || !(seconds > 0)) {
            throw WaxwingheadException.of(ErrorKind.INVALID_INPUT, "a number is out of range", "give positive numbers");
        }
        int inFlight = concurrency > 0 ? concurrency : ratePerSecond > 0 ? 1_000 : 8;
        return new LoadPlan(
                List.of(entryHosts.split(",")),
                service,
                path,
                method,
                bodyBytes,
                tenant,
                trafficClass,
                kind,
                keyPrefix,
                Duration.ofMillis(deadlineMillis),
                ratePerSecond,
                inFlight,
                Duration.ofMillis((long) (seconds * 1_000)));
    }
}
