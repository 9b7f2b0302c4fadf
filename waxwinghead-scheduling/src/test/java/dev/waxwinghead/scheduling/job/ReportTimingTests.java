package dev.waxwinghead.scheduling.job;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ReportTimingTests {
    @Test
    void answersAFullWorkerImmediately() {
        assertThat(ReportTiming.of(245, false, true).holdMillis()).isEqualTo(0);
    }

    @Test
    void holdsTheAnswerToAnIdleWorkerForMostOfTheIntervalOfASmallFleet() {
        ReportTiming timing = ReportTiming.of(33, true, false);
        assertThat(timing.holdMillis()).isGreaterThan(2 * timing.nextReportMillis());
    }

    @Test
    void delaysTheReportOfAnEndLessThanItKeepsAnIdleWorkerWaiting() {
        assertThat(ReportTiming.of(245, true, true).holdMillis())
                .isLessThan(ReportTiming.of(245, true, false).holdMillis());
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 33, 245, 370, 3100})
    void keepsTheRateOfReportsAndAnswersBeforeWorkersGiveUp(int workers) {
        for (boolean finite : new boolean[] {true, false}) {
            ReportTiming timing = ReportTiming.of(workers, true, finite);
            ReportTiming unheld = ReportTiming.of(workers, false, finite);
            assertThat(timing.holdMillis()).isAtMost(500);
            assertThat(timing.holdMillis() + timing.nextReportMillis()).isEqualTo(unheld.nextReportMillis());
        }
    }
}
