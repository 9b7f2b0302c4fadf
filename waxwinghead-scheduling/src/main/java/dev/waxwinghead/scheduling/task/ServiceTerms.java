package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.ServiceName;

/**
 * Tells a service's task what it announces itself with.
 *
 * @param name the service
 * @param slots requests that it takes at once
 * @param connections connections that it takes
 * @since 0.1
 */
public record ServiceTerms(ServiceName name, int slots, int connections) {}
