package dev.waxwinghead.testkit.worker;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.label.Labels;
import dev.waxwinghead.model.resource.Resources;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SimulatedWorkerTests {
    private static final String START_SERVICE = """
            {"type": "start", "task": "service/quotes/0", "attempt": 1, "settings": {},
             "service": {"name": "quotes", "slots": 8, "connections": 64},
             "resources": {"millicores": 500, "memoryBytes": 1000, "accelerators": 0}}""";

    @TempDir
    private Path folder;

    private StubEntryHost host;
    private WorkerProcess worker;

    @BeforeEach
    void openHost() throws IOException {
        host = StubEntryHost.open();
    }

    @AfterEach
    void closeAll() {
        if (worker != null) {
            worker.close();
        }
        host.close();
    }

    private void startWorker(String... ports) {
        worker = WorkerProcess.start(options(ports));
    }

    private WorkerOptions options(String... ports) {
        return new WorkerOptions(
                List.of(ports),
                "w1",
                DataCentreId.of("dc1"),
                "r1",
                Resources.of(16_000, 1_000_000, 0),
                Labels.NONE,
                1,
                8,
                7,
                Duration.ofMillis(50),
                Duration.ofSeconds(5),
                Duration.ofMillis(20),
                false,
                folder.resolve("record"));
    }

    private static String startBatch(int attempt, String settings, String checkpoint) {
        return StubEntryHost.START_BATCH.formatted(attempt, settings, checkpoint);
    }

    private List<String> recordedEvents() throws IOException {
        return Files.readAllLines(folder.resolve("record")).stream()
                .map(line -> line.split("\t", -1)[3])
                .toList();
    }

    @Nested
    class Batch {
        @Test
        void runsToCompletionAndReportsUntilAcknowledged() throws Exception {
            host.answer(1, 5_000, startBatch(1, "\"runMillis\": \"100\"", "null"));
            startWorker(host.port());

            host.awaitTask("completed");
            host.awaitTask("completed");
            host.answer(1, 5_000, StubEntryHost.ACKNOWLEDGE);
            host.awaitPoll(poll -> poll.at("/tasks").isEmpty());

            assertThat(recordedEvents()).containsExactly("start", "completed").inOrder();
        }

        @Test
        void resumesFromCheckpoint() throws Exception {
            host.answer(1, 5_000, startBatch(2, "\"runMillis\": \"3600000\"", "\"c-3599900\""));
            startWorker(host.port());

            JsonNode task = host.awaitTask("completed");

            assertThat(task.at("/attempt").asInt()).isEqualTo(2);
        }

        @Test
        void savesCheckpointOnCommandAndContinues() throws Exception {
            host.answer(1, 5_000, startBatch(1, "\"runMillis\": \"3600000\"", "null"));
            startWorker(host.port());
            host.awaitTask("running");

            host.answer(1, 5_000, """
                    {"type": "checkpoint", "task": "job/nightly/0", "attempt": 1}""");
            JsonNode task = host.awaitTask("checkpointed");

            assertThat(task.at("/checkpoint").asText()).startsWith("c-");
            assertThat(recordedEvents()).doesNotContain("stopped");
        }

        @Test
        void failsFirstAttemptWhenConfigured() throws Exception {
            host.answer(1, 5_000, startBatch(1, "\"fail\": \"once\"", "null"));
            startWorker(host.port());
            host.awaitTask("failed");

            host.answer(
                    1,
                    5_000,
                    StubEntryHost.ACKNOWLEDGE,
                    startBatch(2, "\"fail\": \"once\", \"runMillis\": \"1\"", "null"));

            assertThat(host.awaitTask("completed").at("/attempt").asInt()).isEqualTo(2);
        }
    }

    @Nested
    class Terms {
        @Test
        void ignoresSchedulerOfOlderTerm() throws Exception {
            host.answer(5, 5_000);
            startWorker(host.port());
            host.awaitPoll(poll -> poll.at("/schedulerTerm").asLong() == 5);

            host.answer(4, 5_000, startBatch(1, "", "null"));
            host.awaitPoll(poll -> true);
            host.awaitPoll(poll -> true);
            JsonNode later = host.awaitPoll(poll -> true);

            assertThat(later.at("/tasks")).isEmpty();
            assertThat(later.at("/schedulerTerm").asLong()).isEqualTo(5);
        }

        @Test
        void pollsNextEntryHostWhenOneIsUnreachable() throws Exception {
            try (StubEntryHost acting = StubEntryHost.open()) {
                acting.answer(1, 5_000);
                host.answer(0, 0);
                startWorker("127.0.0.1:1", acting.port());

                assertThat(acting.awaitPoll(poll -> true)
                                .at("/worker/incarnation")
                                .asLong())
                        .isEqualTo(7);
            }
        }
    }

    @Nested
    class Leases {
        @Test
        void stopsTaskWhenLeaseExpires() throws Exception {
            AtomicLong now = new AtomicLong();
            host.answer(1, 400, startBatch(1, "\"runMillis\": \"3600000\"", "null"));
            worker = WorkerProcess.start(options(host.port()), now::get);
            host.awaitTask("running");

            host.answer(0, 0);
            now.addAndGet(TimeUnit.MILLISECONDS.toNanos(399));
            host.awaitPoll(poll -> true);
            host.awaitTask("running");
            now.addAndGet(TimeUnit.MILLISECONDS.toNanos(1));

            assertThat(host.awaitTask("stopped").at("/exitMessage").asText()).contains("lease");
        }

        @Test
        void countsLeaseFromSendingOfPoll() {
            long[] now = {0};
            TaskLease lease = TaskLease.create(() -> now[0]);

            lease.extend(0, 100);
            now[0] = 99_999_999;
            boolean before = lease.held();
            now[0] = 100_000_000;

            assertThat(before).isTrue();
            assertThat(lease.held()).isFalse();
        }
    }

    @Nested
    class Services {
        @Test
        void announcesUpstreamUntilWorkerHasLeft() throws Exception {
            host.answer(1, 5_000, START_SERVICE);
            startWorker(host.port());
            JsonNode serving = host.awaitAnnouncement(
                    message -> message.at("/state").asText().equals("serving"));

            worker.leave().get(20, TimeUnit.SECONDS);

            assertThat(serving.at("/upstream").asText()).isEqualTo("service/quotes/0:1");
            assertThat(serving.at("/slots").asInt()).isEqualTo(8);
            host.awaitAnnouncement(message -> message.at("/state").asText().equals("leaving"));
            host.awaitPoll(poll -> poll.at("/leaving").asBoolean());
        }
    }
}
