package dev.waxwinghead.testkit.worker;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.RackId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.label.Labels;
import dev.waxwinghead.model.resource.Resources;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class TaskEventFileTests {
    private static final WorkerDescription WORKER = new WorkerDescription(
            WorkerId.of("w1"), 7, DataCentreId.of("dc1"), RackId.of("r1"), Resources.of(1000, 1000, 0), Labels.NONE);

    @TempDir
    private Path folder;

    /**
     * Guards against a worker that can't be closed since its polling thread was interrupted while it wrote an event.
     */
    @Test
    void staysOpenIfAnInterruptedThreadAppends() throws IOException {
        Path path = folder.resolve("events");
        try (TaskEventFile events = TaskEventFile.open(path)) {
            Thread.currentThread().interrupt();
            events.append(WORKER, "start", "t1", 1, "");
            assertThat(Thread.interrupted()).isTrue();
            events.append(WORKER, "stopped", "t1", 1, "");
        }
        assertThat(Files.readAllLines(path)).hasSize(2);
    }
}
