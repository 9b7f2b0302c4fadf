package dev.waxwinghead.scheduling.quota;

import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.id.TeamName;
import dev.waxwinghead.model.manifest.QuotaManifest;
import dev.waxwinghead.model.resource.Resources;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Counts the resources that each team holds against its quota.
 *
 * <p>A team without a quota has no limit. Not thread-safe.
 *
 * @since 0.1
 */
public final class QuotaLedger {
    private final Map<TeamName, QuotaManifest> replaceQuotas = new HashMap<>();
    private final Map<TeamName, Resources> used = new HashMap<>();
    private final Map<TaskId, Allocation> allocations = new HashMap<>();

    private QuotaLedger() {}

    /**
     * Returns a ledger without quotas.
     *
     * @return the ledger, never null
     */
    public static QuotaLedger create() {
        return new QuotaLedger();
    }

    /**
     * Replaces all quotas. Resources held by tasks remain counted.
     *
     * @param next the new quotas by team
     */
    public void replaceQuotas(Map<TeamName, QuotaManifest> next) {
        replaceQuotas.clear();
        replaceQuotas.putAll(next);
    }

    /**
     * Counts a task's resources against its team. Replaces the previous count of the same task.
     *
     * @param task the task
     * @param team the task's team
     * @param resources the resources that the task holds
     */
    public void hold(TaskId task, TeamName team, Resources resources) {
        Allocation previous = allocations.get(task);
        if (previous != null && previous.team.equals(team) && previous.resources.equals(resources)) {
            return;
        }
        release(task);
        allocations.put(task, new Allocation(team, resources));
        used.merge(team, resources, Resources::plus);
    }

    /**
     * Removes a task's resources from the count.
     *
     * @param task the task; ignored if not counted
     */
    public void release(TaskId task) {
        Allocation allocation = allocations.remove(task);
        if (allocation != null) {
            used.put(allocation.team, used.get(allocation.team).minus(allocation.resources));
        }
    }

    /**
     * Returns whether a team holds more than its quota.
     *
     * @param team the team
     * @return true if the team borrows resources
     */
    public boolean borrows(TeamName team) {
        QuotaManifest quota = replaceQuotas.get(team);
        return quota != null && !used.getOrDefault(team, Resources.NONE).fitsIn(quota.limit());
    }

    /**
     * Returns whether another task would stay within its team's quota.
     *
     * @param team the team
     * @param resources the resources that the task would hold
     * @return true if the team has no quota or enough of it is unused
     */
    public boolean isWithinQuota(TeamName team, Resources resources) {
        QuotaManifest quota = replaceQuotas.get(team);
        return quota == null
                || used.getOrDefault(team, Resources.NONE).plus(resources).fitsIn(quota.limit());
    }

    /**
     * Returns the reason why a task may not be started under its team's quota.
     *
     * @param team the task's team
     * @param resources the resources that the task would hold
     * @param batch whether the task belongs to a job; only these may borrow
     * @return the reason, empty if the task may be started
     */
    public Optional<String> refusalReason(TeamName team, Resources resources, boolean batch) {
        if (isWithinQuota(team, resources)) {
            return Optional.empty();
        }
        QuotaManifest quota = replaceQuotas.get(team);
        if (batch && quota.mayBorrow()) {
            return Optional.empty();
        }
        return Optional.of("team '" + team + "' has used up its quota of "
                + quota.limit().millicores() + " millicores, " + quota.limit().memoryBytes() + " bytes and "
                + quota.limit().accelerators() + " accelerators");
    }

    private record Allocation(TeamName team, Resources resources) {}
}
