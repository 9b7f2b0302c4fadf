package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.JobId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Rates the workers of one scheduling round by how much of the best-effort work their serving tasks tolerate.
 *
 * <p>Answers the load of best-effort images that disturb most serving images, beside images that disturb none. The
 * former can run on few workers only, so the latter should leave these workers to them. While no image is known to
 * disturb another, all workers have the same rating.
 */
final class ImageTolerance {
    private final InterferenceControl interference;
    private final Map<String, Demand> demands;
    private final long now;
    private final Map<Set<String>, Double> shares = new HashMap<>();
    private double totalMillicores;

    private ImageTolerance(InterferenceControl interference, Map<String, Demand> demands, long now) {
        this.interference = interference;
        this.demands = demands;
        this.now = now;
        demands.values().forEach(demand -> totalMillicores += demand.millicores);
    }

    /**
     * Returns the ratings for the best-effort work of the active jobs.
     *
     * @param table the jobs
     * @param interference what was learned about the images
     * @param now the current time, in nanoseconds
     */
    static ImageTolerance of(JobTable table, InterferenceControl interference, long now) {
        Map<String, Demand> demands = new HashMap<>();
        for (JobId id : table.active()) {
            table.find(id).ifPresent(job -> addDemands(demands, job));
        }
        return new ImageTolerance(interference, demands, now);
    }

    private static void addDemands(Map<String, Demand> demands, JobRecord job) {
        for (JobStep step : job.submission().steps()) {
            if (step.bestEffort() && !step.image().isEmpty()) {
                demands.computeIfAbsent(step.image(), image -> new Demand()).add(step);
            }
        }
    }

    /**
     * Returns the share of the best-effort work that a worker's serving tasks tolerate.
     *
     * @param servingImages the images of the worker's serving tasks
     * @return the share, 0 to 1; 1 if there is no best-effort work
     */
    double share(Set<String> servingImages) {
        Double known = shares.get(servingImages);
        if (known == null) {
            known = computeShare(servingImages);
            shares.put(new HashSet<>(servingImages), known);
        }
        return known;
    }

    private double computeShare(Set<String> servingImages) {
        if (totalMillicores == 0) {
            return 1;
        }
        double tolerated = 0;
        for (Map.Entry<String, Demand> demand : demands.entrySet()) {
            double millicores = demand.getValue().meanMillicores();
            boolean harmless = servingImages.stream()
                    .noneMatch(serving -> interference.disturbs(serving, demand.getKey(), millicores, now));
            tolerated += harmless ? demand.getValue().millicores : 0;
        }
        return tolerated / totalMillicores;
    }

    /** The tasks of an image in the active jobs. */
    private static final class Demand {
        private double millicores;
        private int tasks;

        void add(JobStep step) {
            millicores += (double) step.count() * step.need().millicores();
            tasks += step.count();
        }

        double meanMillicores() {
            return millicores / tasks;
        }
    }
}
