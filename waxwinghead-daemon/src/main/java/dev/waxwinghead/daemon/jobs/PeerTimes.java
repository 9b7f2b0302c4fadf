package dev.waxwinghead.daemon.jobs;

import dev.waxwinghead.coordination.tcp.TcpPeerNetwork;
import dev.waxwinghead.coordination.tcp.TcpPeerSettings;
import dev.waxwinghead.model.time.Ticker;
import java.net.InetSocketAddress;
import java.time.Duration;

/** Opens peer networks with the times that suit small hosts: a heartbeat costs each of them a wake-up. */
final class PeerTimes {
    /** After how long without a frame a connection is replaced; an election takes about as long. */
    private static final Duration SILENCE_TIMEOUT = Duration.ofMillis(1500);

    private PeerTimes() {}

    static TcpPeerNetwork open(JobHostSettings settings, Ticker ticker) {
        InetSocketAddress listen = new InetSocketAddress(settings.self().value(), settings.peerPort());
        TcpPeerSettings peerSettings = TcpPeerSettings.of(
                        settings.cluster(), settings.self(), settings.dataCentre(), listen)
                .withSilenceTimeout(SILENCE_TIMEOUT);
        return TcpPeerNetwork.open(peerSettings, ticker);
    }
}
