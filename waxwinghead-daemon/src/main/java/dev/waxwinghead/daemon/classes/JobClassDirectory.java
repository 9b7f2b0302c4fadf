package dev.waxwinghead.daemon.classes;

import dev.waxwinghead.model.id.JobClassName;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Finds the job class of a request in one version of the document. */
public final class JobClassDirectory {
    private final JobClassDocument document;
    private final Map<String, List<JobClass>> byHost = new HashMap<>();
    private final Map<JobClassName, JobClass> byName = new HashMap<>();

    private JobClassDirectory(JobClassDocument document) {
        this.document = document;
        for (JobClass jobClass : document.classes()) {
            byHost.computeIfAbsent(jobClass.host(), host -> new ArrayList<>()).add(jobClass);
            byName.put(jobClass.name(), jobClass);
        }
        Comparator<JobClass> longestFirst = Comparator.comparingInt(
                        (JobClass jobClass) -> jobClass.pathPrefix().length())
                .reversed();
        byHost.values().forEach(classes -> classes.sort(longestFirst));
    }

    /**
     * Creates the directory of a document.
     *
     * @param document the document
     * @return the directory, never null
     */
    public static JobClassDirectory of(JobClassDocument document) {
        return new JobClassDirectory(document);
    }

    /**
     * Returns the document.
     *
     * @return the document, never null
     */
    public JobClassDocument document() {
        return document;
    }

    /**
     * Finds a class by name.
     *
     * @param name the name of the class
     * @return the class, or empty if the document has none of the name
     */
    public Optional<JobClass> find(JobClassName name) {
        return Optional.ofNullable(byName.get(name));
    }

    /**
     * Finds the class whose path prefix is the longest that a path starts with.
     *
     * @param host the host name that the caller addressed
     * @param path the path
     * @return the class, or empty if no class of the host matches
     */
    public Optional<JobClass> find(String host, String path) {
        for (JobClass jobClass : byHost.getOrDefault(host, List.of())) {
            if (path.startsWith(jobClass.pathPrefix())) {
                return Optional.of(jobClass);
            }
        }
        return Optional.empty();
    }
}
