package dev.waxwinghead.model.manifest;

import com.fasterxml.jackson.annotation.JsonInclude;
import dev.waxwinghead.model.id.TeamName;
import dev.waxwinghead.model.resource.Resources;

/**
 * Declares the quota of a team.
 *
 * @param name the team
 * @param limit the resources that the team's tasks may hold at the same time without borrowing
 * @param mayBorrow whether the team's batch tasks may use the unused quota of other teams until those teams reclaim it;
 *     null means true
 * @since 0.1
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record QuotaManifest(TeamName name, Resources limit, Boolean mayBorrow) implements Manifest {
    /** Validates the fields and sets defaults for omitted ones. */
    public QuotaManifest {
        FieldChecks.requirePresent(name, "name");
        FieldChecks.requirePresent(limit, "limit");
        mayBorrow = mayBorrow == null || mayBorrow;
    }

    @Override
    public ManifestKey key() {
        return ManifestKey.of(ManifestKind.QUOTA, name.value());
    }
}
