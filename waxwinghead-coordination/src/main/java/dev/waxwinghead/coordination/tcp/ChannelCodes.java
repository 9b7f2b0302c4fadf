package dev.waxwinghead.coordination.tcp;

import dev.waxwinghead.coordination.peer.PeerChannel;
import java.util.Arrays;
import java.util.Optional;

/** Knows the number of each channel on the wire. A number never changes its meaning. */
final class ChannelCodes {
    private ChannelCodes() {}

    static int of(PeerChannel channel) {
        return switch (channel) {
            case CONSENSUS -> 1;
            case LOG_CLIENT -> 2;
            case UPSTREAMS -> 3;
            case SHARES -> 4;
            case SCHEDULERS -> 5;
            case STATUS -> 6;
            case JOBS -> 7;
        };
    }

    static Optional<PeerChannel> channel(int code) {
        return Arrays.stream(PeerChannel.values())
                .filter(channel -> of(channel) == code)
                .findFirst();
    }
}
