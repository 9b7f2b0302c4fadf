package dev.waxwinghead.cli.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Option;
import dev.waxwinghead.cli.client.OperatorClient;
import dev.waxwinghead.cli.output.OutputFormat;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Defines the options of every command that connects to an entry host.
 *
 * @since 0.1
 */
public final class ConnectionOptions {
    static final String ENTRY_HOSTS_VARIABLE = "WAXWINGHEAD_ENTRY_HOSTS";

    private static final Pattern ADDRESS = Pattern.compile("(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9A-Fa-f:.]+]):(\\d{1,5})");
    private static final Pattern DURATION = Pattern.compile("(\\d{1,6})(ms|s|m)");
    private static final int MAX_PORT = 65_535;

    @Option(
            name = "--entry-hosts",
            title = "ip:port,ip:port",
            description = "Operator ports of entry hosts, tried in this order (default: " + ENTRY_HOSTS_VARIABLE + ")")
    String entryHosts;

    @AirlineModule
    OutputOptions output = new OutputOptions();

    @Option(name = "--timeout", title = "time", description = "How long to try, 100ms to 60m (default: 15s)")
    String timeout = "15s";

    /** Creates the options with their defaults. */
    public ConnectionOptions() {}

    OutputFormat format() {
        return output.format();
    }

    /** Adds a problem for each invalid option. */
    void validate(Map<String, String> environment, List<String> problems) {
        List<String> hosts = hosts(environment);
        if (hosts.isEmpty()) {
            problems.add("--entry-hosts is missing; give ip:port,ip:port or set " + ENTRY_HOSTS_VARIABLE);
        }
        hosts.stream()
                .filter(host -> !isAddress(host))
                .forEach(host -> problems.add("--entry-hosts has '" + host
                        + "': not an address; give an IP number and a port, as 127.0.0.1:7202"));
        output.validate(problems);
        if (!isTimeoutInRange()) {
            problems.add("--timeout is '" + timeout + "': not a duration in range; give 100ms to 60m, as 15s");
        }
    }

    private List<String> hosts(Map<String, String> environment) {
        String text = entryHosts != null ? entryHosts : environment.getOrDefault(ENTRY_HOSTS_VARIABLE, "");
        return text.isBlank() ? List.of() : List.of(text.split(",", -1));
    }

    private static boolean isAddress(String text) {
        Matcher matcher = ADDRESS.matcher(text);
        if (!matcher.matches()) {
            return false;
        }
        int port = Integer.parseInt(matcher.group(3));
        return port >= 1 && port <= MAX_PORT;
    }

    private boolean isTimeoutInRange() {
        if (!DURATION.matcher(timeout).matches()) {
            return false;
        }
        long millis = timeout().toMillis();
        return millis >= 100 && millis <= Duration.ofMinutes(60).toMillis();
    }

    private Duration timeout() {
        Matcher matcher = DURATION.matcher(timeout);
        if (!matcher.matches()) {
            throw new IllegalStateException("timeout has not been validated");
        }
        long amount = Long.parseLong(matcher.group(1));
        return switch (matcher.group(2)) {
            case "ms" -> Duration.ofMillis(amount);
            case "s" -> Duration.ofSeconds(amount);
            default -> Duration.ofMinutes(amount);
        };
    }

    /**
     * Returns a client for the entry hosts of the options.
     *
     * @param problems the problems that the command has found so far
     * @throws UsageException if there are problems or these options are invalid
     */
    OperatorClient client(CommandContext context, List<String> problems) {
        return client(context, problems, null);
    }

    /**
     * Returns a client.
     *
     * @param problems the problems that the command has found so far
     * @param onlyHost the only entry host to use, as {@code ip:port}; null for the entry hosts of the options
     * @throws UsageException if there are problems or these options are invalid
     */
    OperatorClient client(CommandContext context, List<String> problems, String onlyHost) {
        List<String> allProblems = new ArrayList<>(problems);
        if (onlyHost != null) {
            entryHosts = onlyHost;
        }
        validate(context.environment(), allProblems);
        if (!allProblems.isEmpty()) {
            throw new UsageException(allProblems);
        }
        Ticker ticker = Ticker.system();
        return OperatorClient.create(hosts(context.environment()), ticker, Deadline.after(timeout(), ticker));
    }
}
