package dev.waxwinghead.cli.check;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a check that stops at the first fault, or names another line than that of the fault. */
class ManifestTextTests {
    private static final String RESOURCES = "resources: {millicores: 500, memoryBytes: 1000, accelerators: 0}\n";

    private static String job(String name, String more) {
        return "kind: Job\nname: " + name + "\nteam: seating\n" + more + RESOURCES;
    }

    private static List<Integer> lines(ManifestText text) {
        return text.findings().stream().map(Finding::line).toList();
    }

    @Test
    void findsTheFaultsOfAllDocumentsWithTheirLines() {
        ManifestText text = ManifestText.read("# jobs\n---\n" + job("first", "tasks: 0\n") + "---\n"
                + job("second", "tasks: 1\ncolour: red\n") + "---\n# nothing\n---\n" + job("third", "tasks: 2\n"));

        assertThat(text.entries().stream().map(entry -> entry.manifest().key().toString()))
                .containsExactly("Job/third");
        assertThat(text.entries().get(0).line()).isEqualTo(18);
        assertThat(lines(text)).containsExactly(6, 13);
        assertThat(text.findings().get(0).message()).isEqualTo("tasks is 0");
        assertThat(text.findings().get(0).remedy()).isEqualTo("give a value from 1 to 100000");
        assertThat(text.findings().get(1).message()).contains("colour");
    }

    @Test
    void findsADocumentThatAppearsTwice() {
        ManifestText text = ManifestText.read(job("a", "tasks: 1\n") + "---\n" + job("a", "tasks: 2\n"));

        assertThat(lines(text)).containsExactly(7);
        assertThat(text.findings().get(0).message()).contains("Job/a appears twice, first in line 1");
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "# nothing\n---\n", "kind: Job\n---\nkind: {Job\nname: a\n"})
    void refusesATextThatIsNoYamlOrHasNoDocument(String text) {
        WaxwingheadException failure = assertThrows(WaxwingheadException.class, () -> ManifestText.read(text));

        assertThat(failure.kind()).isEqualTo(ErrorKind.INVALID_INPUT);
        assertThat(failure.remedy()).isNotEmpty();
    }

    @Test
    void namesTheLineOfASyntaxError() {
        WaxwingheadException failure = assertThrows(
                WaxwingheadException.class,
                () -> ManifestText.read(job("a", "tasks: 1\n") + "---\nkind: Job\n\tname: a\n"));

        assertThat(failure).hasMessageThat().startsWith("line 8: ");
        assertThat(failure).hasMessageThat().doesNotContain("line 2");
    }
}
