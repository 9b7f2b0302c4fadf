package dev.waxwinghead.scheduling.placement;

import dev.waxwinghead.model.label.Labels;
import dev.waxwinghead.model.manifest.ManifestKey;
import dev.waxwinghead.model.manifest.Placement;
import dev.waxwinghead.model.resource.Resources;

/**
 * Describes what all tasks of one service or job have in common.
 *
 * @param owner the service or job
 * @param service whether it is a service
 * @param labels the labels of its tasks
 * @param resources what one task holds
 * @param placement where its tasks may land
 * @param interferenceClass what tasks are grouped by when their effect on others is learned
 * @since 0.1
 */
public record Workload(
        ManifestKey owner,
        boolean service,
        Labels labels,
        Resources resources,
        Placement placement,
        String interferenceClass) {
    /** The label that names the interference class. Without it each owner is a class of its own. */
    public static final String CLASS_LABEL = "class";

    /**
     * Returns the workload of a service or job, with the interference class that its labels name.
     *
     * @param owner the service or job
     * @param service whether it is a service
     * @param labels the labels of its tasks
     * @param resources what one task holds
     * @param placement where its tasks may land
     * @return the workload, never null
     */
    public static Workload of(
            ManifestKey owner, boolean service, Labels labels, Resources resources, Placement placement) {
        String interferenceClass =
                service ? owner.name() : labels.value(CLASS_LABEL).orElse(owner.name());
        return new Workload(owner, service, labels, resources, placement, interferenceClass);
    }
}
