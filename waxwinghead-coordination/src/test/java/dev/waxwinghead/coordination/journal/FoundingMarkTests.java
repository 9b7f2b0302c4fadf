package dev.waxwinghead.coordination.journal;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class FoundingMarkTests {
    @TempDir
    private Path parent;

    @Test
    void allowsFormingAGroupAtTheFirstStart() {
        assertThat(FoundingMark.keep(parent.resolve("data"), true)).isTrue();
    }

    @Test
    void allowsFormingAGroupAtALaterStartWithTheSameFolder() {
        Path folder = parent.resolve("data");
        FoundingMark.keep(folder, true);
        assertThat(FoundingMark.keep(folder, false)).isTrue();
    }

    @Test
    void forbidsFormingAGroupAtALaterStartWithAnEmptyFolder() {
        assertThat(FoundingMark.keep(parent.resolve("data"), false)).isFalse();
    }

    @Test
    void leavesTheFolderUsableForTheStorage() {
        Path folder = parent.resolve("data");
        FoundingMark.keep(folder, true);
        try (FileReplicaStorage storage = FileReplicaStorage.open(folder, "test")) {
            assertThat(storage.createdNow()).isTrue();
        }
    }
}
