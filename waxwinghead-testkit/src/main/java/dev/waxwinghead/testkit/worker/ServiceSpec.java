package dev.waxwinghead.testkit.worker;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.model.manifest.ServiceManifest;

/**
 * Describes the service that a task serves, and the capacity of the task.
 *
 * @param name the name of the service
 * @param slots the maximum number of concurrent requests
 * @param connections the maximum number of connections, including open feeds
 */
record ServiceSpec(ServiceName name, int slots, int connections) {
    @JsonCreator(mode = JsonCreator.Mode.PROPERTIES)
    static ServiceSpec from(
            @JsonProperty("name") ServiceName name,
            @JsonProperty("slots") Integer slots,
            @JsonProperty("connections") Integer connections) {
        return new ServiceSpec(
                name,
                slots == null ? ServiceManifest.DEFAULT_SLOTS : slots,
                connections == null ? ServiceManifest.DEFAULT_CONNECTIONS : connections);
    }

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    static ServiceSpec from(String name) {
        return from(ServiceName.of(name), null, null);
    }
}
