package dev.waxwinghead.scheduling.placement;

import dev.waxwinghead.model.label.Labels;
import dev.waxwinghead.model.manifest.ManifestKey;
import dev.waxwinghead.model.manifest.Placement;
import dev.waxwinghead.model.resource.Resources;

/**
 * The properties that all tasks of one service or job share.
 *
 * @param owner the service or job
 * @param service whether the owner is a service
 * @param labels the labels of the tasks
 * @param resources the resources of one task
 * @param placement the placement rules of the tasks
 * @param interferenceClass the class by which tasks are grouped when their interference with others is learned
 * @since 0.1
 */
public record Workload(
        ManifestKey owner,
        boolean service,
        Labels labels,
        Resources resources,
        Placement placement,
        String interferenceClass) {
    /** The label that names the interference class of a job. A job without this label forms a class of its own. */
    public static final String CLASS_LABEL = "class";

    /**
     * Creates the workload of a service or job, with the interference class given by the labels.
     *
     * @param owner the service or job
     * @param service whether the owner is a service
     * @param labels the labels of the tasks
     * @param resources the resources of one task
     * @param placement the placement rules of the tasks
     * @return the new workload, never null
     */
    public static Workload of(
            ManifestKey owner, boolean service, Labels labels, Resources resources, Placement placement) {
        String interferenceClass =
                service ? owner.name() : labels.value(CLASS_LABEL).orElse(owner.name());
        return new Workload(owner, service, labels, resources, placement, interferenceClass);
    }
}
