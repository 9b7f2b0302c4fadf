package dev.waxwinghead.coordination.journal;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import java.io.IOException;
import java.nio.file.Path;

/** Creates the exceptions of the journal. */
final class StorageFailures {
    /** The remedy for a data folder whose content is damaged or incomplete. */
    static final String REJOIN_REMEDY = "check the disk, then empty this host's data folder and start it again: "
            + "it returns as a new replica and catches up from the others, as long as a majority of them is healthy";

    private StorageFailures() {}

    static WaxwingheadException damaged(Path file, long offset, String detail) {
        return WaxwingheadException.of(
                ErrorKind.STORAGE, file + " is damaged at byte " + offset + ": " + detail, REJOIN_REMEDY);
    }

    static WaxwingheadException incomplete(Path folder, String detail) {
        return WaxwingheadException.of(ErrorKind.STORAGE, folder + " is incomplete: " + detail, REJOIN_REMEDY);
    }

    static WaxwingheadException failed(Path file, String operation, IOException cause) {
        return WaxwingheadException.of(
                ErrorKind.STORAGE,
                "can't " + operation + " " + file + ": " + cause.getMessage(),
                "check free space, permissions and the disk, then start this host again",
                cause);
    }

    static WaxwingheadException locked(Path file) {
        return WaxwingheadException.of(
                ErrorKind.STORAGE,
                "the data folder is in use: another process holds " + file,
                "stop the other process or give this one a data folder of its own");
    }

    static WaxwingheadException otherCluster(Path file, String found, String expected) {
        return WaxwingheadException.of(
                ErrorKind.STORAGE,
                file + " belongs to cluster '" + found + "', not to '" + expected + "'",
                "correct the cluster name or the data folder in the settings");
    }
}
