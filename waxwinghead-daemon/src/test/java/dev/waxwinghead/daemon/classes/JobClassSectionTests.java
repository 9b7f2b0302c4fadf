package dev.waxwinghead.daemon.classes;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.waxwinghead.daemon.classes.ReplaceResult.Outcome;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.JobClassName;
import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.scheduling.job.JobTerms;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class JobClassSectionTests {
    private static final ServiceName SERVICE = ServiceName.of("orders");

    private final JobClassSection section = JobClassSection.create();

    @Nested
    class Versions {
        @Test
        void replaceLowerOnes() {
            assertThat(apply(document(3, "a")).outcome()).isEqualTo(Outcome.REPLACED);
            assertThat(apply(document(7, "b")).outcome()).isEqualTo(Outcome.REPLACED);
            assertThat(section.current().orElseThrow().document().version()).isEqualTo(7);
        }

        @Test
        void areSupersededByHigherOnes() {
            apply(document(7, "b"));
            assertThat(apply(document(3, "a"))).isEqualTo(new ReplaceResult(Outcome.SUPERSEDED, 7));
        }

        @Test
        void mayBeResent() {
            apply(document(7, "b"));
            assertThat(apply(document(7, "b")).outcome()).isEqualTo(Outcome.REPEATED);
        }

        @Test
        void rejectChangedContent() {
            apply(document(7, "b"));
            assertThat(apply(document(7, "c")).outcome()).isEqualTo(Outcome.CONFLICT);
            assertThat(section.current().orElseThrow().document().digest()).isEqualTo("b");
        }

        @Test
        void surviveASnapshot() {
            apply(document(7, "b"));
            JobClassSection restored = JobClassSection.create();
            restored.restore(section.snapshot());
            assertThat(restored.snapshot()).isEqualTo(section.snapshot());
        }
    }

    @Nested
    class Lookup {
        @Test
        void prefersTheLongestPrefix() {
            JobClassDirectory directory = JobClassDirectory.of(document(
                    1, "a", List.of(jobClass("short", "/a/", SERVICE, 1), jobClass("long", "/a/b/", SERVICE, 1))));
            assertThat(directory.find("host", "/a/b/1").orElseThrow().name()).isEqualTo(JobClassName.of("long"));
            assertThat(directory.find("host", "/a/1").orElseThrow().name()).isEqualTo(JobClassName.of("short"));
            assertThat(directory.find("other", "/a/1").isPresent()).isFalse();
        }
    }

    @Nested
    class Documents {
        @Test
        void rejectAnUndeclaredService() {
            assertRejected(List.of(jobClass("a", "/a/", ServiceName.of("unknown"), 1)));
        }

        @Test
        void rejectTwoClassesWithTheSameHostAndPrefix() {
            assertRejected(List.of(jobClass("a", "/a/", SERVICE, 1), jobClass("b", "/a/", SERVICE, 1)));
        }

        @Test
        void rejectATimeoutOfZero() {
            assertRejected(List.of(jobClass("a", "/a/", SERVICE, 0)));
        }

        private static void assertRejected(List<JobClass> classes) {
            WaxwingheadException failure = assertThrows(WaxwingheadException.class, () -> document(1, "a", classes));
            assertThat(failure.kind()).isEqualTo(ErrorKind.INVALID_INPUT);
        }
    }

    private ReplaceResult apply(JobClassDocument document) {
        return JobClassCodec.unpackResult(section.apply(1, JobClassCodec.pack(document)));
    }

    private static JobClassDocument document(long version, String digest) {
        return document(version, digest, List.of(jobClass("a", "/a/", SERVICE, 1)));
    }

    private static JobClassDocument document(long version, String digest, List<JobClass> classes) {
        return new JobClassDocument(version, Set.of(SERVICE), classes, digest, new byte[] {1, 2});
    }

    private static JobClass jobClass(String name, String prefix, ServiceName service, long timeoutMillis) {
        JobTerms terms = new JobTerms(JobClassName.of(name), service, 0, 1, 2, 1000);
        return new JobClass("host", prefix, terms, timeoutMillis);
    }
}
