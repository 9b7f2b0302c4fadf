package dev.waxwinghead.cli.check;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.model.manifest.Manifest;
import dev.waxwinghead.model.manifest.ManifestKey;
import dev.waxwinghead.model.manifest.Manifests;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against manifests that are accepted and have no effect, and against false findings on sound ones. */
class ConfigurationCheckTests {
    private static final String RESOURCES = ", resources: {millicores: 500, memoryBytes: 100, accelerators: 0}";

    private static String job(String more) {
        return "{kind: Job, name: nightly, team: seating, labels: {app: invoices}, tasks: 2" + RESOURCES + more + "}\n";
    }

    private static String service(int replicas) {
        return "{kind: Service, name: quotes, team: seating, replicas: " + replicas + RESOURCES + "}\n";
    }

    private static String quota(String team, int millicores, boolean mayBorrow) {
        return "{kind: Quota, name: " + team + ", limit: {millicores: " + millicores
                + ", memoryBytes: 100000, accelerators: 0}, mayBorrow: " + mayBorrow + "}\n";
    }

    private static List<String> check(String text) {
        return describe(ConfigurationCheck.check(ManifestText.read(text)));
    }

    private static List<String> checkAgainst(String inForce, String text) {
        return describe(ConfigurationCheck.check(ManifestText.read(text), manifests(inForce)));
    }

    private static Map<ManifestKey, Manifest> manifests(String yaml) {
        Map<ManifestKey, Manifest> manifests = new TreeMap<>();
        Manifests.readYaml(yaml).forEach(manifest -> manifests.put(manifest.key(), manifest));
        return manifests;
    }

    private static List<String> describe(List<Finding> findings) {
        return findings.stream()
                .map(finding -> finding.line() + " " + finding.kind().code() + " " + finding.entry())
                .toList();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{key: pool, operator: In, values: [a]}, {key: pool, operator: NotIn, values: [a, b]}",
                "{key: pool, operator: In, values: [a]}, {key: pool, operator: In, values: [b]}",
                "{key: pool, operator: Exists}, {key: pool, operator: DoesNotExist}",
                "{key: pool, operator: In, values: [a]}, {key: pool, operator: DoesNotExist}",
            })
    void findsSelectorsThatNoWorkerMeets(String requirements) {
        assertThat(check(job(", placement: {workers: [" + requirements + "]}")))
                .containsExactly("1 never-matches Job/nightly");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{key: pool, operator: In, values: [a, b]}, {key: pool, operator: NotIn, values: [a]}",
                "{key: pool, operator: In, values: [a]}, {key: zone, operator: In, values: [b]}",
                "{key: pool, operator: Exists}, {key: pool, operator: NotIn, values: [a]}",
                "{key: pool, operator: NotIn, values: [a]}, {key: pool, operator: DoesNotExist}",
            })
    void acceptsSelectorsThatSomeWorkerMeets(String requirements) {
        assertThat(check(job(", placement: {workers: [" + requirements + "]}"))).isEmpty();
    }

    @Test
    void findsRulesForTasksThatDoNotExistOnlyIfItKnowsWhatIsInForce() {
        String text = job(", placement: {beside: [{key: app, operator: In, values: [search]}]}");

        assertThat(check(text)).isEmpty();
        assertThat(checkAgainst(service(1), text)).containsExactly("1 never-matches Job/nightly");
        assertThat(checkAgainst(service(1).replace("quotes,", "quotes, labels: {app: search},"), text))
                .isEmpty();
    }

    @Test
    void findsServicesThatDoNotFitIntoTheQuotaOfTheirTeam() {
        assertThat(check(service(3) + "---\n" + quota("seating", 1_499, true)))
                .containsExactly("1 contradiction Service/quotes");
        assertThat(check(service(3) + "---\n" + quota("seating", 1_500, true))).isEmpty();
        assertThat(checkAgainst(quota("seating", 1_499, true), service(3)))
                .containsExactly("1 contradiction Service/quotes");
    }

    @Test
    void findsJobsThatExceedAQuotaThatMustNotBorrow() {
        assertThat(check(job("") + "---\n" + quota("seating", 499, false)))
                .containsExactly("1 contradiction Job/nightly");
        assertThat(check(job("") + "---\n" + quota("seating", 499, true))).isEmpty();
    }

    @Test
    void findsEntriesThatNothingRefersTo() {
        String objective = "{kind: Objective, name: night, tailLatency: 1, batchThroughput: 1, evictions: 1}\n";

        assertThat(check(objective)).containsExactly("1 never-matches Objective/night");
        assertThat(checkAgainst(service(1), quota("sitting", 500, true)))
                .containsExactly("1 never-matches Quota/sitting");
        assertThat(checkAgainst(service(1), quota("seating", 500, true))).isEmpty();
    }

    @Test
    void comparesWithWhatIsInForce() {
        ManifestText text = ManifestText.read(service(2) + "---\n" + job("") + "---\n" + quota("seating", 1, true));

        ConfigurationDifference difference = ConfigurationDifference.of(
                text, 7, manifests(service(1) + "---\n" + job("") + "---\n" + quota("other", 1, true)));

        assertThat(difference.added().toString()).isEqualTo("[Quota/seating]");
        assertThat(difference.changed().toString()).isEqualTo("[Service/quotes]");
        assertThat(difference.unchanged().toString()).isEqualTo("[Job/nightly]");
        assertThat(difference.onlyInForce().toString()).isEqualTo("[Quota/other]");
    }
}
