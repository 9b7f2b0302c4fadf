/** Value types for the ids of hosts, workers, services, jobs, tasks, tenants and requests. */
package dev.waxwinghead.model.id;
