package dev.waxwinghead.coordination.replica;

import static com.google.common.truth.Truth.assertWithMessage;
import static dev.waxwinghead.coordination.replica.SimulatedFaults.host;

import dev.waxwinghead.coordination.replica.SimulatedFaults.Moment;
import dev.waxwinghead.coordination.replica.SimulatedFaults.Size;
import dev.waxwinghead.model.id.HostId;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DiskLossTests {
    private static final long MILLI = SimulatedCluster.NANOS_PER_MILLI;
    private static final long DOWN_NANOS = 500 * MILLI;
    private static final HostId NEW_HOST = host(9);
    private static final Logger LOGGER = Logger.getLogger(SimulatedHost.class.getPackageName());

    /** The simulated hosts would log half a million lines. */
    @BeforeAll
    static void logWarningsOnly() {
        LOGGER.setLevel(Level.WARNING);
    }

    @AfterAll
    static void restoreLogLevel() {
        LOGGER.setLevel(null);
    }

    @Nested
    class AtEachMoment {
        private static final long RECORDED_NANOS = 10_000 * MILLI;
        private static final long INTERVAL_NANOS = 100 * MILLI;

        @ParameterizedTest(name = "{0} hosts, {3} leads, {4} loses its disk")
        @CsvSource({
            "5, 5, 2, 1, 1",
            "5, 5, 2, 1, 4",
            "5, 5, 2, 4, 1",
            "5, 5, 2, 4, 4",
            "5, 5, 2, 4, 5",
            "3, 3, 1, 1, 1",
            "3, 3, 1, 1, 2",
            "4, 3, 1, 2, 1",
            "6, 5, 2, 5, 1"
        })
        void recoversFromAllowedLossesAfterDiskLoss(int hosts, int voters, int tolerance, int leader, int victim) {
            checkAllMoments(
                    new Size(hosts, voters, tolerance), leader, faults -> faults.loseDisk(host(victim), DOWN_NANOS));
        }

        @ParameterizedTest(name = "{0} hosts, {3} leads, {4} is replaced")
        @CsvSource({"5, 5, 2, 1, 5", "5, 5, 2, 4, 1", "5, 5, 2, 4, 4", "3, 3, 1, 2, 1", "6, 5, 2, 5, 1"})
        void recoversFromAllowedLossesAfterReplacement(int hosts, int voters, int tolerance, int leader, int victim) {
            checkAllMoments(new Size(hosts, voters, tolerance), leader, faults -> {
                List<HostId> seeds =
                        Stream.of(2, 3, 9).map(SimulatedFaults::host).toList();
                faults.replace(host(victim), NEW_HOST, seeds, DOWN_NANOS);
                faults.cluster.hosts.values().forEach(other -> other.seeds = seeds);
            });
        }

        /** The new leader can't tell for a while that the replaced voter is gone. */
        @Test
        void recoversFromAllowedLossesIfLeaderRestartsDuringReplacement() {
            checkAllMoments(new Size(5, 5, 2), 4, faults -> {
                List<HostId> seeds =
                        Stream.of(2, 3, 9).map(SimulatedFaults::host).toList();
                faults.replace(host(1), NEW_HOST, seeds, DOWN_NANOS);
                faults.cluster.hosts.values().forEach(other -> other.seeds = seeds);
                faults.cluster.schedule(2500 * MILLI, () -> faults.restart(host(4), 2 * DOWN_NANOS));
            });
        }

        /** The remaining seeds know no other host, and no other host asks to join. */
        @Test
        void recoversFromDiskLossOfAllRemainingSeeds() {
            checkAllMoments(
                    new Size(5, 5, 2),
                    4,
                    faults -> faults.replace(host(1), NEW_HOST, List.of(host(2), host(3), host(4)), DOWN_NANOS));
        }

        private void checkAllMoments(Size size, int leader, Consumer<SimulatedFaults> change) {
            SimulatedFaults faults = new SimulatedFaults(leader, size);
            faults.electLeader(host(leader));
            faults.cluster.runFor(SimulatedCluster.NANOS_PER_SECOND);
            change.accept(faults);
            List<Moment> moments = faults.record(RECORDED_NANOS, INTERVAL_NANOS);
            AtomicInteger checks = new AtomicInteger();
            AtomicInteger failures = new AtomicInteger();
            Optional<AssertionError> first = moments.parallelStream()
                    .flatMap(moment -> moment.allowedLosses().stream().flatMap(lostDisks -> {
                        checks.incrementAndGet();
                        return failure(() -> moment.checkRecoversWithout(lostDisks)).stream();
                    }))
                    .peek(failure -> failures.incrementAndGet())
                    .toList()
                    .stream()
                    .findFirst();
            assertWithMessage(
                            "failures of %s checks, the first: %s",
                            checks, first.map(Throwable::getMessage).orElse(""))
                    .that(failures.get())
                    .isEqualTo(0);
            assertWithMessage("checks").that(checks.get()).isAtLeast(250);
        }
    }

    @Nested
    class InSeededHistories {
        /** The number of histories, a property so that more can be run by hand. */
        private static final int HISTORIES = Integer.getInteger("waxwinghead.model.faultHistories", 1000);

        private static final long FIRST_SEED = Long.getLong("waxwinghead.model.firstFaultSeed", 1);

        @Test
        void recoversFromAllowedLosses() {
            List<String> failures = LongStream.range(FIRST_SEED, FIRST_SEED + HISTORIES)
                    .parallel()
                    .boxed()
                    .flatMap(seed -> {
                        FaultHistory history = new FaultHistory(seed);
                        return failure(history::run).stream()
                                .map(e -> "seed " + seed + ": " + history.events() + ": " + e.getMessage());
                    })
                    .toList();
            assertWithMessage("failed histories").that(failures).isEmpty();
        }
    }

    private static Optional<AssertionError> failure(Runnable check) {
        try {
            check.run();
            return Optional.empty();
        } catch (AssertionError e) {
            return Optional.of(e);
        }
    }
}
