package dev.waxwinghead.daemon.jobs;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.id.HostId;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class JobCallCodecTests {
    private static final JobCall CALL = new JobCall.Cancel(new JobTarget("seats.test", "/quote/7"));

    @Test
    void attemptsKeepTheirEpoch() {
        JobAttempt attempt = JobCallCodec.unpackAttempt(JobCallCodec.attempt(JobCallCodec.pack(CALL), 1L << 40));
        assertThat(attempt).isEqualTo(new JobAttempt(CALL, OptionalLong.of(1L << 40)));
    }

    /** Guards against entry hosts of an earlier version whose calls are not understood. */
    @Test
    void attemptsOfEarlierVersionsHaveNoEpoch() {
        JobAttempt attempt = JobCallCodec.unpackAttempt(JobCallCodec.pack(CALL));
        assertThat(attempt).isEqualTo(new JobAttempt(CALL, OptionalLong.empty()));
    }

    @Test
    void answersAboutEpochsAndRefusalsAreKept() {
        JobAnswer other = new JobAnswer.OtherEpoch(17);
        JobAnswer refused = new JobAnswer.Refused(ErrorKind.LIMITED, "no capacity", "send it again later");
        assertThat(JobCallCodec.unpackAnswer(JobCallCodec.pack(other))).isEqualTo(other);
        assertThat(JobCallCodec.unpackAnswer(JobCallCodec.pack(refused))).isEqualTo(refused);
    }

    @Test
    void statusKeepsTheEpochOfAnActingHost() {
        HostId host = HostId.of("10.0.0.1");
        HostStatus acting = new HostStatus(Optional.of(host), List.of(host), true, OptionalLong.of(5));
        HostStatus idle = new HostStatus(Optional.of(host), List.of(host), true, OptionalLong.empty());
        assertThat(HostStatus.unpack(acting.pack())).isEqualTo(acting);
        assertThat(HostStatus.unpack(idle.pack())).isEqualTo(idle);
    }
}
