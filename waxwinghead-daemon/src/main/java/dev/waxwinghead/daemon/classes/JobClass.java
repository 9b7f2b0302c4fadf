package dev.waxwinghead.daemon.classes;

import dev.waxwinghead.model.id.JobClassName;
import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.scheduling.job.JobTerms;

/**
 * A class of jobs.
 *
 * @param host the host name that callers address
 * @param pathPrefix the prefix of the paths that belong to the class; the rest of a path is the id of a job
 * @param terms the terms of the jobs in the class
 * @param timeoutMillis the time limit of a request to the class in milliseconds, 1 or more
 */
public record JobClass(String host, String pathPrefix, JobTerms terms, long timeoutMillis) {
    /**
     * Returns the name of the class.
     *
     * @return the name, never null
     */
    public JobClassName name() {
        return terms.jobClass();
    }

    /**
     * Returns the service whose workers run the jobs of the class.
     *
     * @return the service, never null
     */
    public ServiceName service() {
        return terms.service();
    }
}
