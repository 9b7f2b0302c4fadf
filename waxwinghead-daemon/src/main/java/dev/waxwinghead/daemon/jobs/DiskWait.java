package dev.waxwinghead.daemon.jobs;

import dev.waxwinghead.coordination.journal.FileReplicaStorage;
import dev.waxwinghead.daemon.log.Event;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.HostId;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Repeats the steps of a start that write to the data folder while the disk refuses writes, such as a full disk. A
 * process that ended instead would only be started again.
 */
final class DiskWait {
    private static final long MIN_PAUSE_MILLIS = 100;
    private static final long MAX_PAUSE_MILLIS = 1000;

    private final HostId self;
    private final Path folder;

    DiskWait(HostId self, Path folder) {
        this.self = self;
        this.folder = folder;
    }

    /** Runs a step until the disk accepts its writes. Throws any other failure of the step. */
    <T> T untilWritten(Supplier<T> step) {
        boolean refused = false;
        long pauseMillis = MIN_PAUSE_MILLIS;
        while (true) {
            try {
                T result = step.get();
                if (refused) {
                    Event.of("storage-opened").with("host", self).write();
                }
                return result;
            } catch (WaxwingheadException e) {
                // A disk without room accepts new files by its permissions; a folder that is not writable stays so.
                if (!FileReplicaStorage.isRefusedWrite(e) || !Files.isWritable(folder)) {
                    throw e;
                }
                if (!refused) {
                    Event.of("storage-refused")
                            .with("host", self)
                            .with("message", e.getMessage())
                            .write();
                }
                refused = true;
                pause(pauseMillis, e);
                pauseMillis = Math.min(2 * pauseMillis, MAX_PAUSE_MILLIS);
            }
        }
    }

    private static void pause(long millis, WaxwingheadException failure) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw failure;
        }
    }
}
