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

/** Exposes the state of the log, the configuration and the peer connections as metrics. */
final class DaemonMeters {
    private DaemonMeters() {}

    static void bind(MeterRegistry meters, ReplicatedLog log, TcpPeerNetwork network, ConfigurationView view) {
        registerGauge(
                meters, "waxwinghead.log.term", log, source -> source.status().term());
        registerGauge(
                meters,
                "waxwinghead.log.committed",
                log,
                source -> source.status().committedIndex());
        registerGauge(
                meters,
                "waxwinghead.log.applied",
                log,
                source -> source.status().appliedIndex());
        registerGauge(meters, "waxwinghead.log.leader", log, DaemonMeters::isLeader);
        registerGauge(
                meters,
                "waxwinghead.log.majority.in.reach",
                log,
                source -> toNumber(source.status().majorityInReach()));
        registerGauge(
                meters,
                "waxwinghead.configuration.revision",
                view,
                source -> source.current().revision());
        registerGauge(meters, "waxwinghead.peers.connected", network, DaemonMeters::connected);
        bindTraffic(meters, network.counters());
    }

    private static void bindTraffic(MeterRegistry meters, TcpPeerCounters counters) {
        for (PeerChannel channel : PeerChannel.values()) {
            registerCounter(meters, "waxwinghead.peers.bytes.in", channel, counters, source -> source.bytesIn(channel));
            registerCounter(
                    meters, "waxwinghead.peers.bytes.out", channel, counters, source -> source.bytesOut(channel));
            registerCounter(
                    meters, "waxwinghead.peers.frames.in", channel, counters, source -> source.framesIn(channel));
            registerCounter(
                    meters, "waxwinghead.peers.frames.out", channel, counters, source -> source.framesOut(channel));
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

    private static void registerCounter(
            MeterRegistry meters,
            String name,
            PeerChannel channel,
            TcpPeerCounters counters,
            ToDoubleFunction<TcpPeerCounters> value) {
        FunctionCounter.builder(name, counters, value)
                .tag("channel", channel.name().toLowerCase(Locale.ROOT))
                .register(meters);
    }

    private static <T> void registerGauge(MeterRegistry meters, String name, T source, ToDoubleFunction<T> value) {
        Gauge.builder(name, source, value).strongReference(true).register(meters);
    }

    private static double isLeader(ReplicatedLog log) {
        return toNumber(log.status().role() == LogStatus.Role.LEADER);
    }

    private static double connected(PeerNetwork network) {
        return network.peers().stream()
                .filter(PeerNetwork.PeerStatus::connected)
                .count();
    }

    private static double toNumber(boolean value) {
        return value ? 1 : 0;
    }
}
