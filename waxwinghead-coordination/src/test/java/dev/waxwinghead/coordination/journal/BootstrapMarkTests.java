package dev.waxwinghead.coordination.journal;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class BootstrapMarkTests {
    @TempDir
    private Path parent;

    @Test
    void allowsFormingAGroupAtTheFirstStart() {
        assertThat(BootstrapMark.writeIfFirstStart(parent.resolve("data"), true))
                .isTrue();
    }

    @Test
    void allowsFormingAGroupAtALaterStartWithTheSameFolder() {
        Path folder = parent.resolve("data");
        BootstrapMark.writeIfFirstStart(folder, true);
        assertThat(BootstrapMark.writeIfFirstStart(folder, false)).isTrue();
    }

    @Test
    void forbidsFormingAGroupAtALaterStartWithAnEmptyFolder() {
        assertThat(BootstrapMark.writeIfFirstStart(parent.resolve("data"), false))
                .isFalse();
    }

    @Test
    void leavesTheFolderUsableForTheStorage() {
        Path folder = parent.resolve("data");
        BootstrapMark.writeIfFirstStart(folder, true);
        try (FileReplicaStorage storage = FileReplicaStorage.open(folder, "test")) {
            assertThat(storage.isNewlyCreated()).isTrue();
        }
    }
}
