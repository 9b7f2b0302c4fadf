package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.resource.Resources;

/**
 * Holds the properties of a step that decide which workers can take its tasks, whatever the job: tasks of the same
 * shape meet the same obstacles on a worker.
 *
 * <p>Contains all that {@link TaskPlacer} reads of a step to determine an obstacle, except for the limit of tasks per
 * worker. An obstacle that depends on a further property of steps requires that property here.
 *
 * @param need the resources that each task needs
 * @param lasting whether the tasks run until the job is canceled
 * @param bestEffort whether the tasks use only resources that other tasks leave unused
 * @param requiredLabel the label that a worker must have, empty if any worker is suitable
 * @param image the image of best-effort tasks, empty for other tasks, which are placed beside any image
 */
record TaskShape(Resources need, boolean lasting, boolean bestEffort, String requiredLabel, String image) {
    static TaskShape of(JobStep step) {
        return new TaskShape(
                step.need(),
                step.lasting(),
                step.bestEffort(),
                step.requiredLabel(),
                step.bestEffort() ? step.image() : "");
    }
}
