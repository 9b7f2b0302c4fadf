package dev.waxwinghead.daemon.jobs;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.daemon.classes.JobClassDocument;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.lifecycle.Closer;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import dev.waxwinghead.scheduling.job.JobOutcome;
import dev.waxwinghead.scheduling.job.SchedulerTimes;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class JobHostTests {
    private static final List<HostId> HOSTS = Stream.of(
                    "127.0.0.11", "127.0.0.12", "127.0.0.13", "127.0.0.14", "127.0.0.15")
            .map(HostId::of)
            .toList();

    private static final List<HostId> SEEDS = HOSTS.subList(0, 3);

    private final Closer closer = Closer.create();

    @TempDir
    private Path folder;

    private int peerPort;

    /**
     * Chooses a port below the range from which the system takes ports for other sockets. A port of that range may be
     * taken by another process while a host is stopped.
     */
    @BeforeEach
    void choosePort() throws IOException {
        do {
            peerPort = ThreadLocalRandom.current().nextInt(10_000, 30_000);
        } while (!isFreeOnAllHosts());
    }

    private boolean isFreeOnAllHosts() throws IOException {
        for (HostId host : HOSTS) {
            try {
                bind(host);
            } catch (BindException e) {
                return false;
            }
        }
        return true;
    }

    /** Binds the port of a host for a moment. */
    private void bind(HostId host) throws IOException {
        new ServerSocket(peerPort, 1, InetAddress.getByName(host.value())).close();
    }

    @AfterEach
    void closeHosts() {
        closer.close();
    }

    private JobHost start(int number, boolean firstStart) {
        return JobHost.start(settings(number, firstStart), Ticker.system(), new SimpleMeterRegistry());
    }

    private JobHostSettings settings(int number, boolean firstStart) {
        return settings(number, firstStart, SEEDS.size());
    }

    private JobHostSettings settings(int number, boolean firstStart, int voters) {
        HostId self = HOSTS.get(number);
        SchedulerTimes times = new SchedulerTimes(
                Duration.ofSeconds(10), Duration.ofSeconds(2), Duration.ofSeconds(60), Duration.ofMillis(100));
        return new JobHostSettings(
                "test",
                self,
                DataCentreId.of("dc-" + number),
                peerPort,
                () -> SEEDS,
                Optional.of(folder.resolve(self.value())),
                firstStart,
                voters,
                times);
    }

    private static boolean findsLeader(JobHost host) throws InterruptedException {
        return findsLeader(host, Duration.ofSeconds(15));
    }

    private static boolean findsLeader(JobHost host, Duration timeout) throws InterruptedException {
        long end = System.nanoTime() + timeout.toNanos();
        while (host.leader().isEmpty() && System.nanoTime() - end < 0) {
            Thread.sleep(50);
        }
        return host.leader().isPresent();
    }

    @Nested
    class InitialGroup {
        @Test
        void isFormedEvenIfItsFounderRestartsFirst() throws InterruptedException {
            start(0, true).close();
            JobHost founder = closer.register(start(0, false));
            closer.register(start(1, true));
            closer.register(start(2, true));
            assertThat(findsLeader(founder)).isTrue();
        }

        @Test
        void isNotFormedByAHostThatLostItsDisk() throws InterruptedException {
            JobHost founder = closer.register(start(0, false));
            closer.register(start(1, true));
            closer.register(start(2, true));
            Thread.sleep(2000);
            assertThat(founder.leader()).isEmpty();
        }
    }

    @Nested
    class StoppedReplica {
        /** Longer than the time after which a leader without contact to a majority counts as lost. */
        private static final long OUT_OF_CONTACT_MILLIS = 1000;

        @Test
        void isNotNamedAsTheLeaderByItsHost() throws InterruptedException {
            List<JobHost> hosts = List.of(start(0, true), start(1, true), start(2, true));
            hosts.forEach(closer::register);
            for (JobHost host : hosts) {
                assertThat(findsLeader(host)).isTrue();
            }
            JobHost leading = hosts.get(SEEDS.indexOf(hosts.get(0).leader().orElseThrow()));
            leading.close();
            Thread.sleep(OUT_OF_CONTACT_MILLIS);
            assertThat(leading.leader()).isEmpty();
        }
    }

    /** Guards against a drain that only the host knows that answered it. */
    @Nested
    class DrainedDataCentre {
        private static final DataCentreId DRAINED = DataCentreId.of("dc-0");

        @Test
        void isKnownToTheNextLeaderAfterADrainThroughAFollower() throws Exception {
            List<JobHost> hosts = new ArrayList<>();
            List<SimpleMeterRegistry> meters = new ArrayList<>();
            for (int number = 0; number < SEEDS.size(); number++) {
                meters.add(new SimpleMeterRegistry());
                hosts.add(closer.register(JobHost.start(settings(number, true), Ticker.system(), meters.get(number))));
            }
            for (JobHost host : hosts) {
                assertThat(findsLeader(host)).isTrue();
            }
            int leader = SEEDS.indexOf(hosts.get(0).leader().orElseThrow());
            int follower = (leader + 1) % SEEDS.size();
            DrainResult drained =
                    hosts.get(follower).drains().drain(DRAINED, deadline()).get();
            assertThat(drained.outcome()).isEqualTo(JobOutcome.APPLIED);
            hosts.get(leader).close();

            DrainResult repeated = repeat(hosts.get(follower));
            assertThat(repeated.outcome()).isEqualTo(JobOutcome.REPEATED);
            assertThat(repeated.index()).isGreaterThan(drained.index());
            assertThat(drainedDataCentres(meters.get(follower))).isEqualTo(1);
            assertThat(hosts.get(follower)
                            .drains()
                            .undrain(DRAINED, deadline())
                            .get()
                            .outcome())
                    .isEqualTo(JobOutcome.APPLIED);
        }

        /** Repeats the drain until the remaining hosts have elected a leader. */
        private DrainResult repeat(JobHost host) throws Exception {
            long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(15);
            while (System.nanoTime() - endNanos < 0) {
                Optional<DrainResult> result = host.drains()
                        .drain(DRAINED, deadline())
                        .handle((committed, failure) -> Optional.ofNullable(committed))
                        .get();
                if (result.isPresent()) {
                    return result.get();
                }
                TimeUnit.MILLISECONDS.sleep(50);
            }
            throw new AssertionError("no leader was elected");
        }

        private static Deadline deadline() {
            return Deadline.after(Duration.ofSeconds(3), Ticker.system());
        }

        private static double drainedDataCentres(SimpleMeterRegistry registry) {
            return registry.get("waxwinghead.job.data.centres.drained").gauge().value();
        }
    }

    @Nested
    class LeaderThatIsNoSeed {
        /** The shortest time in which the users expect a host to be back. */
        private static final Duration CATCH_UP = Duration.ofSeconds(6);

        private static final Duration LEADER_TIMEOUT = Duration.ofMinutes(1);

        private final Map<HostId, JobHost> running = new HashMap<>();

        @Test
        void isFoundByAHostThatLostItsDisk() throws Exception {
            startAll(HOSTS);
            letAHostLeadThatIsNoSeed();
            stop(SEEDS.get(0));
            emptyDisk(SEEDS.get(0));
            startAgain(SEEDS.get(0));
            assertTakesPart(SEEDS.get(0));
        }

        @Test
        void isFoundByAMemberWhoseLogDoesNotNameIt() throws Exception {
            startAll(SEEDS);
            stop(SEEDS.get(2));
            startAll(HOSTS.subList(SEEDS.size(), HOSTS.size()));
            letAHostLeadThatIsNoSeed();
            startAgain(SEEDS.get(2));
            assertTakesPart(SEEDS.get(2));
        }

        private void startAll(List<HostId> hosts) throws InterruptedException {
            for (HostId host : hosts) {
                running.put(host, closer.register(startOfFive(host, true)));
            }
            for (HostId host : hosts) {
                assertThat(findsLeader(running.get(host))).isTrue();
            }
        }

        private void stop(HostId host) {
            running.remove(host).close();
        }

        private void emptyDisk(HostId host) throws IOException {
            try (Stream<Path> files = Files.list(folder.resolve(host.value()))) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
        }

        private void startAgain(HostId host) {
            running.put(host, closer.register(startOfFive(host, false)));
        }

        private JobHost startOfFive(HostId host, boolean firstStart) {
            JobHostSettings settings = settings(HOSTS.indexOf(host), firstStart, HOSTS.size());
            return JobHost.start(settings, Ticker.system(), new SimpleMeterRegistry());
        }

        private void letAHostLeadThatIsNoSeed() throws InterruptedException {
            JobHost observer = running.get(HOSTS.get(HOSTS.size() - 1));
            long endNanos = System.nanoTime() + LEADER_TIMEOUT.toNanos();
            while (observer.leader().filter(host -> !SEEDS.contains(host)).isEmpty()) {
                assertThat(System.nanoTime() - endNanos).isLessThan(0L);
                observer.leader().map(running::get).ifPresent(JobHost::handOver);
                TimeUnit.MILLISECONDS.sleep(50);
            }
        }

        /** Asserts that a change through a host is committed, for which the host must receive and answer messages. */
        private void assertTakesPart(HostId host) throws Exception {
            JobClassDocument document = new JobClassDocument(1, Set.of(), List.of(), "digest", new byte[] {1});
            long endNanos = System.nanoTime() + CATCH_UP.toNanos();
            boolean replaced = false;
            while (!replaced && System.nanoTime() - endNanos < 0) {
                replaced = running.get(host)
                        .classes()
                        .replace(document, Deadline.after(Duration.ofSeconds(1), Ticker.system()))
                        .handle((result, failure) -> failure == null)
                        .get();
                TimeUnit.MILLISECONDS.sleep(20);
            }
            assertThat(replaced).isTrue();
        }
    }
}
