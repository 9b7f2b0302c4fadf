package dev.waxwinghead.testkit.worker;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.model.manifest.ServiceManifest;

/**
 * States what a task of a service offers.
 *
 * @param name the service
 * @param slots requests that it takes at once
 * @param connections connections that it takes, open feeds among them
 */
record ServiceTerms(ServiceName name, int slots, int connections) {
    @JsonCreator(mode = JsonCreator.Mode.PROPERTIES)
    static ServiceTerms from(
            @JsonProperty("name") ServiceName name,
            @JsonProperty("slots") Integer slots,
            @JsonProperty("connections") Integer connections) {
        return new ServiceTerms(
                name,
                slots == null ? ServiceManifest.DEFAULT_SLOTS : slots,
                connections == null ? ServiceManifest.DEFAULT_CONNECTIONS : connections);
    }

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    static ServiceTerms from(String name) {
        return from(ServiceName.of(name), null, null);
    }
}
