package dev.waxwinghead.daemon.jobs;

import dev.waxwinghead.daemon.log.Event;
import dev.waxwinghead.daemon.state.SectionId;
import dev.waxwinghead.daemon.state.SharedState;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import dev.waxwinghead.scheduling.interference.PairEstimate;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Commits what the acting scheduler has learned about images whenever it differs from the recorded estimates. */
final class InterferenceRecorder {
    /** The interval at which estimates are compared and committed: some kilobytes for a few dozen images. */
    static final long INTERVAL_MILLIS = 2000;

    /** The change of an increase that is worth an entry of the log; a task of 7 cores changes a latency by 15 %. */
    private static final double MIN_CHANGE = 0.01;

    private static final Duration COMMIT_TIMEOUT = Duration.ofMillis(INTERVAL_MILLIS);

    private final JobEngine engine;
    private final SharedState sharedState;
    private final InterferenceSection section;
    private final Ticker ticker;

    InterferenceRecorder(JobEngine engine, SharedState sharedState, InterferenceSection section, Ticker ticker) {
        this.engine = engine;
        this.sharedState = sharedState;
        this.section = section;
        this.ticker = ticker;
    }

    /** Commits the estimates if this host acts as the scheduler and they have changed. */
    void record() {
        List<PairEstimate> learned = engine.interferenceEstimates();
        if (!differ(learned, section.estimates())) {
            return;
        }
        CompletableFuture<byte[]> unused = sharedState
                .propose(
                        SectionId.INTERFERENCE,
                        InterferenceSection.pack(learned),
                        Deadline.after(COMMIT_TIMEOUT, ticker))
                .whenComplete((result, failure) -> {
                    if (failure != null) {
                        Event.of("estimates-not-recorded")
                                .with("kind", WaxwingheadException.from(failure).kind())
                                .write();
                    }
                });
    }

    /** Returns whether a pair was learned that is not recorded, or with a clearly different increase. */
    static boolean differ(List<PairEstimate> learned, List<PairEstimate> recorded) {
        Map<List<String>, Double> increases = new HashMap<>();
        recorded.forEach(estimate -> increases.put(List.of(estimate.image(), estimate.other()), estimate.increase()));
        for (PairEstimate estimate : learned) {
            Double known = increases.get(List.of(estimate.image(), estimate.other()));
            if (known == null || Math.abs(known - estimate.increase()) > MIN_CHANGE) {
                return true;
            }
        }
        return false;
    }
}
