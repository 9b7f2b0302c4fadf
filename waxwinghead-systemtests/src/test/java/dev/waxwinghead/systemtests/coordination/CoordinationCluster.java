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

/** Runs entry hosts as processes, with a relay in each direction between any two of them. */
final class CoordinationCluster implements AutoCloseable {
    private static final Duration STARTED_WITHIN = Duration.ofSeconds(30);
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
        processes.route((from, to) -> text(relays.get(relayName(from, to)).address()));
    }

    private static TcpRelay relayTo(EntryHost host) {
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        int port = Integer.parseInt(host.peerPort().substring(host.peerPort().lastIndexOf(':') + 1));
        return TcpRelay.open(anyPort, new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }

    private static String relayName(String from, String to) {
        return from + ">" + to;
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Starts a cluster and waits until every host answers a confirmed read. */
    static CoordinationCluster start(Path folder, int voters, int learners) throws InterruptedException {
        CoordinationCluster cluster = new CoordinationCluster(folder, voters, learners);
        try {
            cluster.processes.start();
            cluster.hosts().forEach(host -> await(STARTED_WITHIN, "started", () -> cluster.isCurrent(host)));
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

    /** Does something to all relays to and from a host. */
    void eachRelayOf(EntryHost host, Consumer<TcpRelay> action) {
        for (EntryHost other : others(host)) {
            action.accept(relays.get(relayName(host.id(), other.id())));
            action.accept(relays.get(relayName(other.id(), host.id())));
        }
    }

    void eachRelay(Consumer<TcpRelay> action) {
        relays.values().forEach(action);
    }

    /** Returns the leader that a majority of the given hosts name, waiting until there is one. */
    EntryHost leader(List<EntryHost> among) {
        List<EntryHost> found = new ArrayList<>();
        await(STARTED_WITHIN, "leader", () -> {
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

    /** Returns what a host tells of its log, empty if it does not answer. */
    Optional<JsonNode> status(EntryHost host) {
        return client.get(host, "/v1/status").map(answer -> answer.body().path("log"));
    }

    boolean isCurrent(EntryHost host) {
        return client.get(host, "/v1/configuration").filter(Answer::ok).isPresent();
    }

    /** Returns the revision of each entry in force on a host, as a majority confirms, waiting until one does. */
    Map<String, Long> entries(EntryHost host, Duration limit) {
        List<Answer> answers = new ArrayList<>();
        await(limit, "confirmed read on " + host.id(), () -> {
            client.get(host, "/v1/configuration").filter(Answer::ok).ifPresent(answers::add);
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

    /** Puts a tenant through the given host, resending under the same change id until it is accepted. */
    long putTenant(EntryHost host, String tenant, Duration limit) {
        List<Answer> accepted = new ArrayList<>();
        await(limit, "change of " + tenant + " through " + host.id(), () -> {
            tryPut(host, tenant).filter(Answer::ok).ifPresent(accepted::add);
            return !accepted.isEmpty();
        });
        return accepted.get(0).revision();
    }

    /** Sends a change of a tenant once; the change id is that of the tenant. Empty if no answer came. */
    Optional<Answer> tryPut(EntryHost host, String tenant) {
        return client.putTenant(host, "put-" + tenant, null, tenant)
                .<Optional<Answer>>handle((answer, failure) -> Optional.ofNullable(answer))
                .join();
    }

    static void await(Duration limit, String what, BooleanSupplier condition) {
        long begin = System.nanoTime();
        while (!condition.getAsBoolean()) {
            assertWithMessage("no %s within %s", what, limit)
                    .that(System.nanoTime() - begin)
                    .isLessThan(limit.toNanos());
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
