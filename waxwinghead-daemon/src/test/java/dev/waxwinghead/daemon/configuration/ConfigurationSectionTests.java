package dev.waxwinghead.daemon.configuration;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.model.id.ChangeId;
import dev.waxwinghead.model.manifest.Manifest;
import dev.waxwinghead.model.manifest.ManifestKey;
import dev.waxwinghead.model.manifest.ManifestKind;
import dev.waxwinghead.model.manifest.Manifests;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConfigurationSectionTests {
    private final ConfigurationSection section = ConfigurationSection.create();
    private long index;

    private ChangeResult apply(ConfigurationChange change) {
        return ChangeCodec.unpackResult(section.apply(++index, ChangeCodec.packChange(change)));
    }

    private static ConfigurationChange put(String id, OptionalLong expected, int tasks) {
        return new ConfigurationChange(ChangeId.of(id), expected, List.of(job(tasks)), List.of());
    }

    private static ConfigurationChange delete(String id, String name) {
        ManifestKey key = ManifestKey.of(ManifestKind.JOB, name);
        return new ConfigurationChange(ChangeId.of(id), OptionalLong.empty(), List.of(), List.of(key));
    }

    private static Manifest job(int tasks) {
        return Manifests.readYaml("{kind: Job, name: nightly, team: a, tasks: " + tasks
                        + ", resources: {millicores: 1, memoryBytes: 1, accelerators: 0}, settings: {b: '1', a: '2'}}")
                .get(0);
    }

    @Nested
    class Changing {
        @Test
        void acceptsTheFirstOfTwoChangesThatExpectTheSameRevision() {
            ChangeResult first = apply(put("one", OptionalLong.of(0), 1));
            ChangeResult second = apply(put("two", OptionalLong.of(0), 2));

            assertThat(first).isEqualTo(new ChangeResult(ChangeResult.Status.ACCEPTED, 1, "", false));
            assertThat(second).isEqualTo(new ChangeResult(ChangeResult.Status.CONFLICT, 1, "one", false));
        }

        @Test
        void appliesNothingOfAChangeThatDeletesAMissingManifest() {
            ConfigurationChange change = new ConfigurationChange(
                    ChangeId.of("one"),
                    OptionalLong.empty(),
                    List.of(job(1)),
                    List.of(ManifestKey.of(ManifestKind.JOB, "other")));

            assertThat(apply(change).status()).isEqualTo(ChangeResult.Status.NOT_FOUND);
            assertThat(section.current().entries()).isEmpty();
        }

        @Test
        void keepsTheRevisionAtWhichEachEntryChanged() {
            apply(put("one", OptionalLong.empty(), 1));
            apply(put("two", OptionalLong.empty(), 2));

            assertThat(section.current().find(job(2).key()).orElseThrow().revision())
                    .isEqualTo(2);
        }
    }

    @Nested
    class Resending {
        @Test
        void returnsTheRecordedAnswer() {
            apply(put("one", OptionalLong.of(0), 1));
            apply(delete("two", "nightly"));

            ChangeResult resent = apply(put("one", OptionalLong.of(0), 1));

            assertThat(resent).isEqualTo(new ChangeResult(ChangeResult.Status.ACCEPTED, 1, "", true));
            assertThat(section.current().entries()).isEmpty();
        }

        @Test
        void rejectsAnIdThatWasUsedWithOtherContent() {
            apply(put("one", OptionalLong.empty(), 1));

            assertThat(apply(put("one", OptionalLong.empty(), 2)).status()).isEqualTo(ChangeResult.Status.ID_REUSED);
        }

        @Test
        void packsEqualContentEqually() {
            assertThat(ChangeCodec.packChange(put("one", OptionalLong.empty(), 1)))
                    .isEqualTo(ChangeCodec.packChange(put("one", OptionalLong.empty(), 1)));
        }

        @Test
        void forgetsTheOldestAnswersBeyondTheLimit() {
            for (int i = 0; i <= ConfigurationSection.MAX_RECORDED_CHANGES; i++) {
                apply(put("c" + i, OptionalLong.empty(), 1));
            }

            assertThat(apply(put("c1", OptionalLong.empty(), 1)).replayed()).isTrue();
            assertThat(apply(put("c0", OptionalLong.empty(), 1)).replayed()).isFalse();
        }
    }

    @Nested
    class Restoring {
        @Test
        void keepsTheEntriesAndTheAnswers() {
            apply(put("one", OptionalLong.empty(), 1));
            byte[] snapshot = section.snapshot();

            ConfigurationSection restored = ConfigurationSection.create();
            restored.restore(snapshot);

            assertThat(restored.current()).isEqualTo(section.current());
            assertThat(restored.snapshot()).isEqualTo(snapshot);
        }
    }
}
