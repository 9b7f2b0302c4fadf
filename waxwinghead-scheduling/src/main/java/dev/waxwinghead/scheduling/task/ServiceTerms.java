package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.ServiceName;

/**
 * The parameters with which a task of a service announces itself as an upstream.
 *
 * @param name the name of the service
 * @param slots the number of requests that the task serves concurrently
 * @param connections the number of connections that the task accepts
 * @since 0.1
 */
public record ServiceTerms(ServiceName name, int slots, int connections) {}
