package dev.waxwinghead.scheduling.quota;

import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.id.TeamName;
import dev.waxwinghead.model.manifest.QuotaManifest;
import dev.waxwinghead.model.resource.Resources;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Counts what each team holds against its quota.
 *
 * <p>A team without a quota has no limit. Used by one thread at a time.
 *
 * @since 0.1
 */
public final class QuotaLedger {
    private final Map<TeamName, QuotaManifest> quotas = new HashMap<>();
    private final Map<TeamName, Resources> used = new HashMap<>();
    private final Map<TaskId, Holding> holdings = new HashMap<>();

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
     * Replaces all quotas; what is held stays counted.
     *
     * @param next the quotas by team
     */
    public void quotas(Map<TeamName, QuotaManifest> next) {
        quotas.clear();
        quotas.putAll(next);
    }

    /**
     * Counts a task. A task that is counted already is counted anew.
     *
     * @param task the task
     * @param team its team
     * @param resources what it holds
     */
    public void hold(TaskId task, TeamName team, Resources resources) {
        Holding before = holdings.get(task);
        if (before != null && before.team.equals(team) && before.resources.equals(resources)) {
            return;
        }
        release(task);
        holdings.put(task, new Holding(team, resources));
        used.merge(team, resources, Resources::plus);
    }

    /**
     * Takes a task's count back.
     *
     * @param task the task; passed over if it is not counted
     */
    public void release(TaskId task) {
        Holding held = holdings.remove(task);
        if (held != null) {
            used.put(held.team, used.get(held.team).minus(held.resources));
        }
    }

    /**
     * Tells whether a team holds more than its quota.
     *
     * @param team the team
     * @return true if it has borrowed
     */
    public boolean borrows(TeamName team) {
        QuotaManifest quota = quotas.get(team);
        return quota != null && !used.getOrDefault(team, Resources.NONE).fitsIn(quota.limit());
    }

    /**
     * Tells whether a task stays within its team's quota.
     *
     * @param team the team
     * @param resources what the task would hold
     * @return true if there is no quota, or room in it
     */
    public boolean within(TeamName team, Resources resources) {
        QuotaManifest quota = quotas.get(team);
        return quota == null
                || used.getOrDefault(team, Resources.NONE).plus(resources).fitsIn(quota.limit());
    }

    /**
     * Says why a task may not be started.
     *
     * @param team its team
     * @param resources what it would hold
     * @param batch whether it is a job's task, which alone may borrow
     * @return the reason, empty if it may be started
     */
    public Optional<String> refusal(TeamName team, Resources resources, boolean batch) {
        if (within(team, resources)) {
            return Optional.empty();
        }
        QuotaManifest quota = quotas.get(team);
        if (batch && quota.mayBorrow()) {
            return Optional.empty();
        }
        return Optional.of("team '" + team + "' has used up its quota of "
                + quota.limit().millicores() + " millicores, " + quota.limit().memoryBytes() + " bytes and "
                + quota.limit().accelerators() + " accelerators");
    }

    private record Holding(TeamName team, Resources resources) {}
}
