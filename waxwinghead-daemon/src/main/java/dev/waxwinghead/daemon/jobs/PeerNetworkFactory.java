package dev.waxwinghead.daemon.jobs;

import dev.waxwinghead.coordination.tcp.TcpPeerNetwork;
import dev.waxwinghead.coordination.tcp.TcpPeerSettings;
import dev.waxwinghead.model.time.Ticker;
import java.net.InetSocketAddress;
import java.time.Duration;

/** Opens peer networks with timing for small hosts, where each heartbeat costs a wake-up. */
final class PeerNetworkFactory {
    /** The time without a frame after which a connection is replaced; about as long as an election. */
    private static final Duration SILENCE_TIMEOUT = Duration.ofMillis(1500);

    private PeerNetworkFactory() {}

    static TcpPeerNetwork open(JobHostSettings settings, Ticker ticker) {
        InetSocketAddress listen = new InetSocketAddress(settings.self().value(), settings.peerPort());
        TcpPeerSettings peerSettings = TcpPeerSettings.of(
                        settings.cluster(), settings.self(), settings.dataCentre(), listen)
                .withSilenceTimeout(SILENCE_TIMEOUT);
        return TcpPeerNetwork.open(peerSettings, ticker);
    }
}
