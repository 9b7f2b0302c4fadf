package dev.waxwinghead.daemon.jobs;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.lifecycle.Closer;
import dev.waxwinghead.model.time.Ticker;
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
import java.util.List;
import java.util.Optional;
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

    @BeforeEach
    void choosePort() throws IOException {
        do {
            peerPort = bind(SEEDS.get(0), 0);
        } while (!isFreeOnAllHosts());
    }

    private boolean isFreeOnAllHosts() throws IOException {
        for (HostId host : HOSTS) {
            try {
                bind(host, peerPort);
            } catch (BindException e) {
                return false;
            }
        }
        return true;
    }

    /** Binds a port for a moment, any free one for 0, and returns it. */
    private static int bind(HostId host, int port) throws IOException {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host.value()))) {
            return socket.getLocalPort();
        }
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

    @Nested
    class LostDisk {
        /** The shortest time in which the users expect a host that lost its disk to be back. */
        private static final Duration CATCH_UP = Duration.ofSeconds(6);

        private final List<JobHost> hosts = new ArrayList<>();

        @BeforeEach
        void startAllHosts() throws InterruptedException {
            for (int i = 0; i < HOSTS.size(); i++) {
                hosts.add(closer.register(startOfFive(i, true)));
            }
            for (JobHost host : hosts) {
                assertThat(findsLeader(host)).isTrue();
            }
        }

        @Test
        void hostJoinsAgainWhileTheLeaderIsNoSeed() throws Exception {
            HostId leader = letAHostLeadThatIsNoSeed();
            JobHost rejoined = restartWithEmptyDisk(0);
            assertThat(findsLeader(rejoined, CATCH_UP)).isTrue();
            assertThat(rejoined.leader()).hasValue(leader);
        }

        private HostId letAHostLeadThatIsNoSeed() throws InterruptedException {
            JobHost observer = hosts.get(HOSTS.size() - 1);
            assertThat(findsLeader(observer)).isTrue();
            while (SEEDS.contains(observer.leader().orElseThrow())) {
                HostId resigning = observer.leader().orElseThrow();
                hosts.get(HOSTS.indexOf(resigning)).handOver();
                while (observer.leader().equals(Optional.of(resigning))) {
                    TimeUnit.MILLISECONDS.sleep(5);
                }
                assertThat(findsLeader(observer)).isTrue();
            }
            return observer.leader().orElseThrow();
        }

        private JobHost restartWithEmptyDisk(int number) throws IOException {
            hosts.get(number).close();
            try (Stream<Path> files =
                    Files.list(folder.resolve(HOSTS.get(number).value()))) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
            return closer.register(startOfFive(number, false));
        }

        private JobHost startOfFive(int number, boolean firstStart) {
            return JobHost.start(
                    settings(number, firstStart, HOSTS.size()), Ticker.system(), new SimpleMeterRegistry());
        }
    }
}
