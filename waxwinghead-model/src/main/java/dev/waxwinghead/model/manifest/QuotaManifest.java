package dev.waxwinghead.model.manifest;

import com.fasterxml.jackson.annotation.JsonInclude;
import dev.waxwinghead.model.id.TeamName;
import dev.waxwinghead.model.resource.Resources;

/**
 * Declares the quota of a team.
 *
 * @param name the team
 * @param limit what the team's tasks may hold at once without borrowing
 * @param mayBorrow whether its batch tasks may use what other teams leave free, until those want it back; null means
 *     true
 * @since 0.1
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record QuotaManifest(TeamName name, Resources limit, Boolean mayBorrow) implements Manifest {
    /** Checks the fields and fills in what was left out. */
    public QuotaManifest {
        Checks.present(name, "name");
        Checks.present(limit, "limit");
        mayBorrow = mayBorrow == null || mayBorrow;
    }

    @Override
    public ManifestKey key() {
        return ManifestKey.of(ManifestKind.QUOTA, name.value());
    }
}
