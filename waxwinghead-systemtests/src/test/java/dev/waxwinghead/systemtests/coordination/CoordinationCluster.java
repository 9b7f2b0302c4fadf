package dev.waxwinghead.systemtests.coordination;

import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import dev.waxwinghead.model.lifecycle.Closer;
import dev.waxwinghead.systemtests.EntryHost;
import dev.waxwinghead.systemtests.ProcessCluster;
import dev.waxwinghead.systemtests.coordination.OperatorClient.Answer;
import dev.waxwinghead.testkit.relay.TcpRelay;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Runs entry hosts as processes, with a TCP relay in each direction between any two of them. */
final class CoordinationCluster implements AutoCloseable {
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
    private static final long POLL_MILLIS = 20;
    private static final String DATA_CENTRE = "dc1";

    private final Closer closer = Closer.create();
    private final ProcessCluster processes;
    private final Map<String, TcpRelay> relays = new HashMap<>();
    private final OperatorClient client = new OperatorClient();

    private CoordinationCluster(Path folder, int voters, int learners) {
        processes = closer.register(ProcessCluster.create(folder));
        for (int i = 1; i <= voters; i++) {
            processes.addVoter("e" + i, DATA_CENTRE);
        }
        for (int i = voters + 1; i <= voters + learners; i++) {
            processes.addLearner("e" + i, DATA_CENTRE);
        }
        for (EntryHost from : hosts()) {
            others(from).forEach(to -> relays.put(relayName(from.id(), to.id()), closer.register(relayTo(to))));
        }
        processes.route(
                (from, to) -> addressText(relays.get(relayName(from, to)).address()));
    }

    private static TcpRelay relayTo(EntryHost host) {
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        int port =
                Integer.parseInt(host.peerAddress().substring(host.peerAddress().lastIndexOf(':') + 1));
        return TcpRelay.open(anyPort, new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }

    private static String relayName(String from, String to) {
        return from + ">" + to;
    }

    private static String addressText(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Starts a cluster and waits until every host answers a confirmed read. */
    static CoordinationCluster start(Path folder, int voters, int learners) throws InterruptedException {
        CoordinationCluster cluster = new CoordinationCluster(folder, voters, learners);
        try {
            cluster.processes.start();
            cluster.hosts().forEach(host -> await(START_TIMEOUT, "started", () -> cluster.isCurrent(host)));
            return cluster;
        } catch (AssertionError | RuntimeException e) {
            cluster.close();
            throw e;
        }
    }

    /** Deletes all files of a host's data folder. */
    static void emptyDataFolder(EntryHost host) {
        try (Stream<Path> files = Files.walk(host.dataFolder())) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    List<EntryHost> hosts() {
        return processes.hosts();
    }

    List<EntryHost> others(EntryHost host) {
        return hosts().stream().filter(other -> other != host).toList();
    }

    OperatorClient client() {
        return client;
    }

    /** Applies an action to all relays to and from a host. */
    void forEachRelayOf(EntryHost host, Consumer<TcpRelay> action) {
        for (EntryHost other : others(host)) {
            action.accept(relays.get(relayName(host.id(), other.id())));
            action.accept(relays.get(relayName(other.id(), host.id())));
        }
    }

    void forEachRelay(Consumer<TcpRelay> action) {
        relays.values().forEach(action);
    }

    /** Waits until a majority of the given hosts report the same leader among them, and returns that leader. */
    EntryHost leader(List<EntryHost> among) {
        List<EntryHost> found = new ArrayList<>();
        await(START_TIMEOUT, "leader", () -> {
            Map<String, Long> named = among.stream()
                    .map(host -> status(host).map(log -> log.path("leader").asText("")))
                    .flatMap(Optional::stream)
                    .collect(Collectors.groupingBy(name -> name, Collectors.counting()));
            hosts().stream()
                    .filter(among::contains)
                    .filter(host -> named.getOrDefault(host.id(), 0L) * 2 > among.size())
                    .forEach(found::add);
            return !found.isEmpty();
        });
        return found.get(0);
    }

    /** Returns the status of the log that a host reports, empty if the host does not answer. */
    Optional<JsonNode> status(EntryHost host) {
        return client.get(host, "/v1/status").map(answer -> answer.body().path("log"));
    }

    boolean isCurrent(EntryHost host) {
        return client.get(host, "/v1/configuration").filter(Answer::isOk).isPresent();
    }

    /** Waits until a host answers a majority-confirmed read, and returns the revision of each entry by key. */
    Map<String, Long> entries(EntryHost host, Duration timeout) {
        List<Answer> answers = new ArrayList<>();
        await(timeout, "confirmed read on " + host.id(), () -> {
            client.get(host, "/v1/configuration").filter(Answer::isOk).ifPresent(answers::add);
            return !answers.isEmpty();
        });
        Map<String, Long> entries = new TreeMap<>();
        answers.get(0)
                .body()
                .path("entries")
                .forEach(entry -> entries.put(
                        entry.path("key").asText(), entry.path("revision").asLong()));
        return entries;
    }

    /** Puts a tenant through a host, resending with the same change id until accepted, and returns the revision. */
    long putTenant(EntryHost host, String tenant, Duration timeout) {
        List<Answer> accepted = new ArrayList<>();
        await(timeout, "change of " + tenant + " through " + host.id(), () -> {
            tryPutTenant(host, tenant).filter(Answer::isOk).ifPresent(accepted::add);
            return !accepted.isEmpty();
        });
        return accepted.get(0).revision();
    }

    /** Sends a change of a tenant once, with a change id derived from the tenant. Returns empty if no answer came. */
    Optional<Answer> tryPutTenant(EntryHost host, String tenant) {
        return client.putTenant(host, "put-" + tenant, null, tenant)
                .<Optional<Answer>>handle((answer, failure) -> Optional.ofNullable(answer))
                .join();
    }

    static void await(Duration timeout, String expected, BooleanSupplier condition) {
        long startNanos = System.nanoTime();
        while (!condition.getAsBoolean()) {
            assertWithMessage("expected %s within %s", expected, timeout)
                    .that(System.nanoTime() - startNanos)
                    .isLessThan(timeout.toNanos());
            sleep(POLL_MILLIS);
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() {
        closer.close();
    }
}
