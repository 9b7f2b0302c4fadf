package dev.waxwinghead.daemon;

import dev.waxwinghead.coordination.log.LogStatus;
import dev.waxwinghead.coordination.log.ReplicatedLog;
import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.coordination.peer.PeerNetwork;
import dev.waxwinghead.coordination.tcp.TcpPeerCounters;
import dev.waxwinghead.coordination.tcp.TcpPeerNetwork;
import dev.waxwinghead.daemon.configuration.ConfigurationView;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/** Shows the log, the configuration and the peer connections as metrics. */
final class DaemonMeters {
    private DaemonMeters() {}

    static void bind(MeterRegistry meters, ReplicatedLog log, TcpPeerNetwork network, ConfigurationView view) {
        gauge(meters, "waxwinghead.log.term", log, source -> source.status().term());
        gauge(
                meters,
                "waxwinghead.log.committed",
                log,
                source -> source.status().committedIndex());
        gauge(meters, "waxwinghead.log.applied", log, source -> source.status().appliedIndex());
        gauge(meters, "waxwinghead.log.leader", log, DaemonMeters::isLeader);
        gauge(
                meters,
                "waxwinghead.log.majority.in.reach",
                log,
                source -> bit(source.status().majorityInReach()));
        gauge(
                meters,
                "waxwinghead.configuration.revision",
                view,
                source -> source.current().revision());
        gauge(meters, "waxwinghead.peers.connected", network, DaemonMeters::connected);
        bindTraffic(meters, network.counters());
    }

    private static void bindTraffic(MeterRegistry meters, TcpPeerCounters counters) {
        for (PeerChannel channel : PeerChannel.values()) {
            count(meters, "waxwinghead.peers.bytes.in", channel, counters, source -> source.bytesIn(channel));
            count(meters, "waxwinghead.peers.bytes.out", channel, counters, source -> source.bytesOut(channel));
            count(meters, "waxwinghead.peers.frames.in", channel, counters, source -> source.framesIn(channel));
            count(meters, "waxwinghead.peers.frames.out", channel, counters, source -> source.framesOut(channel));
        }
        FunctionCounter.builder("waxwinghead.peers.reconnects", counters, TcpPeerCounters::reconnects)
                .register(meters);
        FunctionCounter.builder("waxwinghead.peers.dropped.messages", counters, TcpPeerCounters::droppedMessages)
                .register(meters);
        FunctionCounter.builder("waxwinghead.peers.silent.connections", counters, TcpPeerCounters::silentConnections)
                .register(meters);
        FunctionCounter.builder("waxwinghead.peers.refused.handshakes", counters, TcpPeerCounters::refusedHandshakes)
                .register(meters);
    }

    private static void count(
            MeterRegistry meters,
            String name,
            PeerChannel channel,
            TcpPeerCounters counters,
            ToDoubleFunction<TcpPeerCounters> value) {
        FunctionCounter.builder(name, counters, value)
                .tag("channel", channel.name().toLowerCase(Locale.ROOT))
                .register(meters);
    }

    private static <T> void gauge(MeterRegistry meters, String name, T source, ToDoubleFunction<T> value) {
        Gauge.builder(name, source, value).strongReference(true).register(meters);
    }

    private static double isLeader(ReplicatedLog log) {
        return bit(log.status().role() == LogStatus.Role.LEADER);
    }

    private static double connected(PeerNetwork network) {
        return network.peers().stream()
                .filter(PeerNetwork.PeerStatus::connected)
                .count();
    }

    private static double bit(boolean value) {
        return value ? 1 : 0;
    }
}
