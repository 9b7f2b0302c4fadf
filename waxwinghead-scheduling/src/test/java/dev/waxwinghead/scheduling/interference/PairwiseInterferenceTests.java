package dev.waxwinghead.scheduling.interference;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class PairwiseInterferenceTests {
    private static final double UNITS = 6;

    private final PairwiseInterference model = PairwiseInterference.create();
    private long now;

    @Test
    void distinguishesHarmfulFromHarmlessImageUnderFluctuatingLoad() {
        for (int i = 0; i < 80; i++) {
            now += TimeUnit.MILLISECONDS.toNanos(250);
            double load = -0.8 + 0.6 * Math.sin(now / 20e9 * 2 * Math.PI);
            model.learn("job", "serving", Map.of(), load, now);
            model.learn("job", "serving", Map.of("harmless", UNITS), load, now);
            model.learn("job", "serving", Map.of("harmful", UNITS), load + 1.2, now);
        }
        assertThat(model.latencyIncrease("serving", "harmful", now) * UNITS)
                .isWithin(0.4)
                .of(1.2);
        assertThat(model.latencyIncrease("serving", "harmless", now) * UNITS).isLessThan(0.12);
        assertThat(model.isReliable("serving", "harmful", now)).isTrue();
    }

    @Test
    void tracksTheBaselineOfAJob() {
        for (int i = 0; i < 20; i++) {
            now += TimeUnit.MILLISECONDS.toNanos(250);
            model.learn("job", "serving", Map.of(), -0.2, now);
        }
        assertThat(model.baseline("job")).isWithin(0.1).of(-0.2);
    }

    @Test
    void keepsReliableEstimatesWhenAnotherModelAdoptsThem() {
        for (int i = 0; i < 80; i++) {
            now += TimeUnit.MILLISECONDS.toNanos(250);
            model.learn("job", "serving", Map.of(), -0.8, now);
            model.learn("job", "serving", Map.of("harmful", UNITS), 0.4, now);
        }
        PairwiseInterference successor = PairwiseInterference.create();
        long otherClock = 7;
        successor.adopt(model.reliableEstimates(now), otherClock);
        assertThat(successor.isReliable("serving", "harmful", otherClock)).isTrue();
        assertThat(successor.latencyIncrease("serving", "harmful", otherClock))
                .isWithin(0.001)
                .of(model.latencyIncrease("serving", "harmful", now));
    }

    @Test
    void keepsItsOwnEstimatesWhereTheyAreMoreReliable() {
        model.adopt(List.of(new PairEstimate("serving", "other", 0.2, 0.0005)), now);
        model.adopt(List.of(new PairEstimate("serving", "other", 0.9, 0.001)), now);
        assertThat(model.latencyIncrease("serving", "other", now)).isEqualTo(0.2);
    }

    @Test
    void discountsEstimatesWithoutRecentMeasurements() {
        for (int i = 0; i < 40; i++) {
            now += TimeUnit.MILLISECONDS.toNanos(250);
            model.learn("job", "serving", Map.of("other", UNITS), 0.6, now);
        }
        double learned = model.latencyIncrease("serving", "other", now);
        long later = now + TimeUnit.SECONDS.toNanos(100);
        assertThat(model.latencyIncrease("serving", "other", later)).isLessThan(learned);
        assertThat(model.isReliable("serving", "other", later)).isFalse();
    }
}
