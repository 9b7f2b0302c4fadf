package dev.waxwinghead.model.manifest;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import java.util.Arrays;

/**
 * Enumerates the kinds of manifest.
 *
 * @since 0.1
 */
public enum ManifestKind {
    /** A service that serves callers. */
    SERVICE("Service"),
    /** A batch job that runs to completion. */
    JOB("Job"),
    /** The quota of a team. */
    QUOTA("Quota"),
    /** The limits and weight of a tenant. */
    TENANT("Tenant"),
    /** The limits and latency target of a class of requests. */
    TRAFFIC_CLASS("TrafficClass"),
    /** The weights of the scheduling objective. */
    OBJECTIVE("Objective");

    private final String text;

    ManifestKind(String text) {
        this.text = text;
    }

    /**
     * Returns the name of the kind in manifests.
     *
     * @return the name, never null
     */
    @JsonValue
    public String text() {
        return text;
    }

    /**
     * Returns the kind with the given name.
     *
     * @param text the name, in any letter case and in the singular or plural
     * @return the kind, never null
     * @throws WaxwingheadException if no kind has the name
     */
    @JsonCreator
    public static ManifestKind ofText(String text) {
        return Arrays.stream(values())
                .filter(kind -> kind.text.equalsIgnoreCase(text) || (kind.text + "s").equalsIgnoreCase(text))
                .findFirst()
                .orElseThrow(() -> WaxwingheadException.of(
                        ErrorKind.INVALID_INPUT,
                        "kind '" + text + "' is unknown",
                        "use Service, Job, Quota, Tenant, TrafficClass or Objective"));
    }
}
