package dev.waxwinghead.model.manifest;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ManifestsTests {
    private static final String SERVICE = """
            kind: Service
            name: quotes
            team: seating
            replicas: 3
            resources: {millicores: 500, memoryBytes: 1000, accelerators: 0}
            placement:
              workers:
                - {key: pool, operator: In, values: [general]}
            """;
    private static final String JOB = """
            kind: Job
            name: nightly
            team: seating
            tasks: 4
            resources: {millicores: 500, memoryBytes: 1000, accelerators: 0}
            """;

    @Nested
    class Reading {
        @Test
        void readsEveryDocumentInOrder() {
            List<Manifest> manifests = Manifests.readYaml(SERVICE + "---\n" + JOB);

            assertThat(manifests.stream().map(manifest -> manifest.key().toString()))
                    .containsExactly("Service/quotes", "Job/nightly")
                    .inOrder();
        }

        @Test
        void readsBackTheJsonThatItWrites() {
            Manifest manifest = Manifests.readYaml(SERVICE).get(0);

            assertThat(Manifests.readJson(Manifests.writeJson(manifest))).isEqualTo(manifest);
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "",
                    "kind: Nothing",
                    "kind: [",
                    "kind: Job\nname: a\n",
                    JOB + "colour: red\n",
                    JOB + "---\n" + JOB,
                })
        void rejectsMalformedText(String text) {
            WaxwingheadException failure = assertThrows(WaxwingheadException.class, () -> Manifests.readYaml(text));

            assertThat(failure.kind()).isEqualTo(ErrorKind.INVALID_INPUT);
            assertThat(failure.remedy()).isNotEmpty();
        }

        @Test
        void reportsTheRemedyForANegativeAmount() {
            WaxwingheadException failure =
                    assertThrows(WaxwingheadException.class, () -> Manifests.readYaml(JOB.replace("500", "-500")));

            assertThat(failure).hasMessageThat().isEqualTo("millicores is -500; give an amount of 0 or more");
        }

        @Test
        void reportsTheRemedyForAnUnknownOperator() {
            WaxwingheadException failure =
                    assertThrows(WaxwingheadException.class, () -> Manifests.readYaml(SERVICE.replace("In,", "Near,")));

            assertThat(failure)
                    .hasMessageThat()
                    .isEqualTo("selector operator 'Near' is unknown; use In, NotIn, Exists or DoesNotExist");
        }
    }
}
