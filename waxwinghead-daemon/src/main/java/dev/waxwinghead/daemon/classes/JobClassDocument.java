package dev.waxwinghead.daemon.classes;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.ServiceName;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A document of all job classes, in one version.
 *
 * @param version the version, 1 or more; a higher version replaces a lower one
 * @param services the declared services; each class names one of them
 * @param classes the job classes
 * @param digest the digest of the content, which distinguishes documents of the same version
 * @param source the compressed document as sent by the operator
 */
@SuppressWarnings("ArrayRecordComponent") // The source is shared, never compared or changed.
public record JobClassDocument(
        long version, Set<ServiceName> services, List<JobClass> classes, String digest, byte[] source) {
    /** Copies the collections and validates the document. */
    public JobClassDocument {
        services = Set.copyOf(services);
        classes = List.copyOf(classes);
        if (version < 1) {
            throw invalid("version " + version + " is not positive", "count versions from 1");
        }
        Set<List<String>> hostsAndPaths = new HashSet<>();
        for (JobClass jobClass : classes) {
            check(jobClass, services);
            if (!hostsAndPaths.add(List.of(jobClass.host(), jobClass.pathPrefix()))) {
                throw invalid(
                        "two job classes share host " + jobClass.host() + " and path " + jobClass.pathPrefix(),
                        "give each class its own combination of host and path");
            }
        }
    }

    private static void check(JobClass jobClass, Set<ServiceName> services) {
        if (!services.contains(jobClass.service())) {
            throw invalid(
                    "job class " + jobClass.name() + " names service " + jobClass.service() + ", which is not declared",
                    "declare the service or correct the name");
        }
        if (jobClass.timeoutMillis() < 1) {
            throw invalid(
                    "job class " + jobClass.name() + " has a timeout below 1 ms", "set a timeout of 1 ms or more");
        }
        if (jobClass.terms().attempts() < 1) {
            throw invalid("job class " + jobClass.name() + " allows fewer than 1 attempt", "allow 1 attempt or more");
        }
    }

    private static WaxwingheadException invalid(String message, String remedy) {
        return WaxwingheadException.of(ErrorKind.INVALID_INPUT, message, remedy);
    }

    @Override
    public String toString() {
        return "version " + version + " with " + classes.size() + " classes, digest " + digest;
    }

    /**
     * Returns the compressed source.
     *
     * @return a copy of the bytes, never null
     */
    @Override
    public byte[] source() {
        return Arrays.copyOf(source, source.length);
    }
}
