import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Tells the members of each run of a gang when all of them are present, and how they end. */
final class Gangs {
    private static final long ALONE_NANOS = 3_000_000_000L;

    private static final class Gang {
        int size;
        long workMillis;
        final Map<String, Long> present = new HashMap<>();
        final Set<String> gone = new HashSet<>();
        long completeNanos;
        boolean done;
        boolean broken;
    }

    private final Map<String, Gang> gangs = new HashMap<>();

    private Gang gang(String task, long attempt) {
        return gangs.computeIfAbsent(task.substring(0, task.lastIndexOf('.')) + "/" + attempt, key -> new Gang());
    }

    synchronized void present(String task, long attempt, int size, long workMillis) {
        Gang gang = gang(task, attempt);
        gang.size = size;
        gang.workMillis = workMillis;
        gang.present.put(task, System.nanoTime());
        if (gang.present.size() == size && !gang.broken) {
            gang.completeNanos = System.nanoTime();
        }
    }

    synchronized void gone(String task, long attempt) {
        Gang gang = gang(task, attempt);
        settle(gang);
        gang.gone.add(task);
        if (!gang.done) {
            gang.broken = true;
        }
    }

    synchronized boolean complete(String task, long attempt) {
        return gang(task, attempt).completeNanos > 0;
    }

    private static void settle(Gang gang) {
        if (!gang.broken
                && gang.completeNanos > 0
                && System.nanoTime() - gang.completeNanos >= gang.workMillis * 1_000_000) {
            gang.done = true;
        }
    }

    /** Returns how the run of a member ends now, or null if it goes on. */
    synchronized String end(String task, long attempt) {
        Gang gang = gang(task, attempt);
        settle(gang);
        if (gang.done) {
            return "done";
        }
        if (gang.broken) {
            return "broken";
        }
        boolean waits = gang.completeNanos == 0;
        return waits && System.nanoTime() - gang.present.get(task) >= ALONE_NANOS ? "alone" : null;
    }

    /** Returns whether the run of a gang has ended {@code done}. */
    synchronized boolean done(String task, long attempt) {
        Gang gang = gang(task, attempt);
        settle(gang);
        return gang.done;
    }
}
