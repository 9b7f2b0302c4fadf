package dev.waxwinghead.daemon.claims;

import dev.waxwinghead.daemon.part.DaemonContext;
import dev.waxwinghead.daemon.part.DaemonPart;
import dev.waxwinghead.daemon.part.PeriodicTask;
import dev.waxwinghead.daemon.state.StateSection;
import dev.waxwinghead.model.lifecycle.Closer;
import dev.waxwinghead.model.time.Deadline;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** Provides the claims of keyed requests. */
public final class ClaimsPart implements DaemonPart {
    private static final long CLOCK_INTERVAL_MINUTES = 10;

    private final ClaimsSection section = ClaimsSection.create();
    private final Closer closer = Closer.create();
    private volatile ClaimStore store;

    private ClaimsPart() {}

    /**
     * Creates a part that is not started.
     *
     * @return the part, never null
     */
    public static ClaimsPart create() {
        return new ClaimsPart();
    }

    /**
     * Returns the store for claims.
     *
     * @return the store, or null before the part is started
     */
    public ClaimStore store() {
        return store;
    }

    @Override
    public List<StateSection> sections() {
        return List.of(section);
    }

    @Override
    public void start(DaemonContext context) {
        ClaimStore created = ClaimStore.create(
                section,
                context.sharedState(),
                context.ticker(),
                context.self(),
                ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE));
        store = created;
        closer.register(PeriodicTask.start(
                context.timer(),
                TimeUnit.MINUTES.toMillis(CLOCK_INTERVAL_MINUTES),
                "claim-clock",
                () -> created.recordClock(context.self()).exceptionally(failure -> new byte[0])));
        context.meters().gauge("waxwinghead.claims", section, ClaimsSection::size);
    }

    @Override
    public CompletableFuture<Void> drain(Deadline deadline) {
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public Map<String, Object> status() {
        return Map.of("claims", section.size());
    }

    @Override
    public void close() {
        closer.close();
    }
}
