package dev.waxwinghead.scheduling.retry;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RetryPolicyTests {
    private static final Duration SECOND = Duration.ofSeconds(1);

    private final RetryBudget budget = RetryBudget.create(0.1, 2);
    private final RetryPolicy policy = RetryPolicy.create(budget);

    @ParameterizedTest
    @CsvSource({
        "true, BROKEN, true",
        "true, TIMED_OUT, true",
        "true, ANSWERED, false",
        "false, BROKEN, false",
        "false, TIMED_OUT, false",
        "false, NOT_SENT, true",
        "false, NOT_RUN, true",
    })
    void resendsRequestsThatAreIdempotentOrCertainlyNotRun(boolean idempotent, AttemptEnd end, boolean resent) {
        assertThat(policy.tryResend(idempotent, end, 1, SECOND)).isEqualTo(resent);
    }

    @Test
    void limitsResendsToARatioOfTheSuccesses() {
        int resent = 0;
        for (int i = 0; i < 1_000; i++) {
            budget.succeeded();
            resent += policy.tryResend(true, AttemptEnd.BROKEN, 1, SECOND) ? 1 : 0;
        }
        assertThat(resent).isAtMost(102);
        assertThat(resent).isAtLeast(99);
    }

    @Test
    void doesNotResendShortlyBeforeTheDeadline() {
        assertThat(policy.tryResend(true, AttemptEnd.BROKEN, 1, Duration.ofMillis(5)))
                .isFalse();
    }
}
