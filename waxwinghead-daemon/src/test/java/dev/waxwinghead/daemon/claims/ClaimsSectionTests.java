package dev.waxwinghead.daemon.claims;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

class ClaimsSectionTests {
    private static final long HOUR = 3_600_000;

    private final ClaimsSection section = ClaimsSection.create(new ClaimBounds(4, 20));
    private long index;

    @Test
    void grantsAKeyToOneClaimantOnly() {
        assertThat(claim("a", 1, 0)).isEqualTo(ClaimResult.Status.GRANTED);
        assertThat(claim("a", 2, 0)).isEqualTo(ClaimResult.Status.HELD);
        assertThat(claim("a", 1, 0)).isEqualTo(ClaimResult.Status.GRANTED);
    }

    @Test
    void ignoresAReleaseByAnyoneButTheHolder() {
        claim("a", 1, 0);
        apply(new ClaimCommand.Release("a", 2));
        assertThat(claim("a", 3, 0)).isEqualTo(ClaimResult.Status.HELD);
        apply(new ClaimCommand.Release("a", 1));
        assertThat(claim("a", 3, 0)).isEqualTo(ClaimResult.Status.GRANTED);
    }

    @Test
    void neverReleasesAnAnsweredKey() {
        claim("a", 1, 0);
        complete("a", 1, "done");
        apply(new ClaimCommand.Release("a", 1));
        assertThat(claim("a", 2, 0)).isEqualTo(ClaimResult.Status.ANSWERED);
    }

    @Test
    void rejectsNewKeysAtTheLimit() {
        for (int i = 0; i < 4; i++) {
            assertThat(claim("k" + i, i, 0)).isEqualTo(ClaimResult.Status.GRANTED);
        }
        assertThat(claim("k4", 4, 0)).isEqualTo(ClaimResult.Status.FULL);
        assertThat(claim("k0", 5, 0)).isEqualTo(ClaimResult.Status.HELD);
    }

    @Test
    void dropsTheOldestAnswersButKeepsTheirClaims() {
        claim("a", 1, 0);
        claim("b", 2, 0);
        complete("a", 1, "twelve bytes");
        complete("b", 2, "twelve bytes");
        assertThat(claim("a", 3, 0)).isEqualTo(ClaimResult.Status.HELD);
        assertThat(claim("b", 4, 0)).isEqualTo(ClaimResult.Status.ANSWERED);
    }

    @Test
    void expiresByTheMedianOfTheHostsClocks() {
        claim("a", 1, HOUR);
        apply(new ClaimCommand.RecordClock("e1", HOUR));
        apply(new ClaimCommand.RecordClock("e2", 2 * HOUR));
        apply(new ClaimCommand.RecordClock("wrong", 1_000 * HOUR));
        assertThat(claim("a", 2, HOUR)).isEqualTo(ClaimResult.Status.HELD);
        apply(new ClaimCommand.RecordClock("e2", 26 * HOUR));
        assertThat(claim("a", 3, HOUR)).isEqualTo(ClaimResult.Status.GRANTED);
    }

    @Test
    void appliesCommandsAfterARestoreAsTheOriginalDoes() {
        Random random = new Random(7);
        ClaimsSection restored = ClaimsSection.create(new ClaimBounds(4, 20));
        for (int i = 0; i < 2_000; i++) {
            byte[] command = ClaimCodec.packCommand(randomCommand(random));
            if (i % 100 == 0) {
                restored.restore(section.snapshot());
            }
            assertThat(restored.apply(i, command)).isEqualTo(section.apply(i, command));
        }
        assertThat(restored.snapshot()).isEqualTo(section.snapshot());
    }

    private static ClaimCommand randomCommand(Random random) {
        String key = "k" + random.nextInt(6);
        int nonce = random.nextInt(8);
        return switch (random.nextInt(4)) {
            case 0, 1 -> new ClaimCommand.Claim(key, "d" + random.nextInt(2), "e1", nonce, random.nextInt(50) * HOUR);
            case 2 -> new ClaimCommand.Complete(key, nonce, answer("body " + nonce));
            default ->
                random.nextBoolean()
                        ? new ClaimCommand.Release(key, nonce)
                        : new ClaimCommand.RecordClock("e" + random.nextInt(3), random.nextInt(60) * HOUR);
        };
    }

    private ClaimResult.Status claim(String key, long nonce, long epochMillis) {
        return apply(new ClaimCommand.Claim(key, "d1", "e1", nonce, epochMillis));
    }

    private void complete(String key, long nonce, String body) {
        apply(new ClaimCommand.Complete(key, nonce, answer(body)));
    }

    private static RecordedAnswer answer(String body) {
        return RecordedAnswer.of(200, "u1", Map.of("A", List.of("b")), body.getBytes(StandardCharsets.UTF_8));
    }

    private ClaimResult.Status apply(ClaimCommand command) {
        return ClaimCodec.unpackResult(section.apply(++index, ClaimCodec.packCommand(command)))
                .status();
    }
}
