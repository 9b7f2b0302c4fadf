package dev.waxwinghead.coordination.tcp;

import dev.waxwinghead.coordination.peer.PeerChannel;
import java.util.Arrays;
import java.util.Optional;

/** Maps channels to their codes on the wire. Once assigned, a code never changes its meaning. */
final class ChannelCodes {
    private ChannelCodes() {}

    static int codeOf(PeerChannel channel) {
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

    static Optional<PeerChannel> channelOf(int code) {
        return Arrays.stream(PeerChannel.values())
                .filter(channel -> codeOf(channel) == code)
                .findFirst();
    }
}
