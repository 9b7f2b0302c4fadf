package dev.waxwinghead.model.id;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.waxwinghead.model.error.WaxwingheadException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class IdSyntaxTests {
    @Test
    void acceptsATaskIdWithinAnUpstreamId() {
        TaskId task = TaskId.of(ServiceName.of("quotes"), 0);

        assertThat(UpstreamId.of(task + ":1").value()).isEqualTo("service/quotes/0:1");
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "a b", "-a", "a/b", "a=b"})
    void rejectsInvalidCharactersInHostIds(String text) {
        assertThrows(WaxwingheadException.class, () -> HostId.of(text));
    }
}
