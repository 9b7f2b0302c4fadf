package dev.waxwinghead.daemon.classes;

import dev.waxwinghead.model.id.JobClassName;
import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.scheduling.job.JobTerms;

/**
 * Describes a class of jobs.
 *
 * @param host the host name that callers address
 * @param pathPrefix the start of the paths that belong to the class; the rest of a path is a job's id
 * @param terms the terms of its jobs
 * @param timeoutMillis how long a request of the class may take, in milliseconds, from 1
 */
public record JobClass(String host, String pathPrefix, JobTerms terms, long timeoutMillis) {
    /**
     * Returns the class's name.
     *
     * @return the name, never null
     */
    public JobClassName name() {
        return terms.jobClass();
    }

    /**
     * Returns the service whose workers run its jobs.
     *
     * @return the service, never null
     */
    public ServiceName service() {
        return terms.service();
    }
}
