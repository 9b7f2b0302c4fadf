import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * What the members of a gang tell each other: who is present, since when all are, and whether one has ended. The gang
 * goes on from the least work that a member was started with.
 */
final class Gangs {
    private final Map<String, Gang> gangs = new HashMap<>();

    synchronized void join(Runs.Run run) {
        Gang gang = gang(run);
        gang.present.add(run.task);
        gang.startMillis = Math.min(gang.startMillis, run.startMillis());
        if (gang.present.size() == run.spec.gang() && gang.completeNanos == 0) {
            gang.completeNanos = System.nanoTime();
        }
    }

    synchronized void breakUp(Runs.Run run) {
        gang(run).broken = true;
    }

    synchronized boolean isBroken(Runs.Run run) {
        return gang(run).broken;
    }

    /** Returns the time since which all members have been present, 0 if some are missing. */
    synchronized long completeNanos(Runs.Run run) {
        return gang(run).completeNanos;
    }

    /** Returns the work from which the gang goes on. */
    synchronized long startMillis(Runs.Run run) {
        return gang(run).startMillis;
    }

    private Gang gang(Runs.Run run) {
        String step = run.task.substring(0, run.task.lastIndexOf('.'));
        return gangs.computeIfAbsent(step + "#" + run.attempt, key -> new Gang());
    }

    private static final class Gang {
        private final Set<String> present = new HashSet<>();
        private long completeNanos;
        private long startMillis = Long.MAX_VALUE;
        private boolean broken;
    }
}
