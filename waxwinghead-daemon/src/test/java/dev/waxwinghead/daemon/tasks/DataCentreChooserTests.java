package dev.waxwinghead.daemon.tasks;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.label.Labels;
import dev.waxwinghead.model.manifest.Manifest;
import dev.waxwinghead.model.manifest.Manifests;
import dev.waxwinghead.model.resource.Resources;
import dev.waxwinghead.scheduling.task.OwnerRecord;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against delegating tasks to a drained data centre, and against calling a task impossible for a drain. */
class DataCentreChooserTests {
    private static final DataCentreId LARGE = DataCentreId.of("dc1");
    private static final DataCentreId SMALL = DataCentreId.of("dc2");
    private static final OwnerRecord ANYWHERE = owner("");
    private static final OwnerRecord ONLY_LARGE = owner("large");

    private static OwnerRecord owner(String pool) {
        String placement =
                pool.isEmpty() ? "" : ", placement: {workers: [{key: pool, operator: In, values: [" + pool + "]}]}";
        Manifest manifest = Manifests.readYaml("{kind: Job, name: nightly, team: t, tasks: 1, "
                        + "resources: {millicores: 100, memoryBytes: 1, accelerators: 0}" + placement + "}")
                .get(0);
        return new OwnerRecord(manifest.key(), 1, 1, manifest, 1, 1, OwnerRecord.Status.ACTIVE, false, null);
    }

    private static CapacityReport report(DataCentreId dataCentre, String pool, long freeMillicores) {
        Resources capacity = Resources.of(10_000, 100, 0);
        Resources free = Resources.of(freeMillicores, 100, 0);
        Labels labels = Labels.of(Map.of("pool", pool));
        return new CapacityReport(dataCentre, 1, List.of(new CapacityReport.Group(labels, capacity, 1, 1, free)));
    }

    private static DataCentreChooser chooser(DataCentreId... drained) {
        return DataCentreChooser.of(
                List.of(report(LARGE, "large", 10_000), report(SMALL, "small", 100)), Set.of(drained));
    }

    @Test
    void choosesTheDataCentreWithMoreRoomUnlessItIsDrained() {
        assertThat(chooser().choose(ANYWHERE, Map.of())).hasValue(LARGE);
        assertThat(chooser(LARGE).choose(ANYWHERE, Map.of())).hasValue(SMALL);
        assertThat(chooser(LARGE).estimateFreeSlots(ANYWHERE, LARGE)).isEqualTo(0);
    }

    @Test
    void choosesNoneIfAllAreDrained() {
        DataCentreChooser chooser = chooser(LARGE, SMALL);

        assertThat(chooser.choose(ANYWHERE, Map.of())).isEmpty();
        assertThat(chooser.drainReason(ANYWHERE))
                .hasValue("the workers that could run it are in drained data centres: dc1, dc2");
    }

    @Test
    void namesTheDrainOnlyForOwnersThatCanRunNowhereElse() {
        DataCentreChooser chooser = chooser(LARGE);

        assertThat(chooser.drainReason(ONLY_LARGE).filter(DataCentreChooser::isDrainReason))
                .isPresent();
        assertThat(chooser.impossibilityReason(ONLY_LARGE)).isEmpty();
        assertThat(chooser.drainReason(ANYWHERE)).isEmpty();
        assertThat(chooser().drainReason(ONLY_LARGE)).isEmpty();
    }
}
