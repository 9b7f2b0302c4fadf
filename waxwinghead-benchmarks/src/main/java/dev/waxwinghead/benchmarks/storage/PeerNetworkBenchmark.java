package dev.waxwinghead.benchmarks.storage;

import dev.waxwinghead.coordination.peer.PeerAddress;
import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.coordination.tcp.TcpPeerNetwork;
import dev.waxwinghead.coordination.tcp.TcpPeerSettings;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.lifecycle.Closer;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import org.HdrHistogram.Histogram;

/**
 * Measures the round trip and the bytes on the wire of a call by payload size, and the cost of idle connections.
 *
 * <p>All hosts run in this process and use the loopback interface. The exit status is 1 if a bound is missed.
 */
public final class PeerNetworkBenchmark {
    private static final Ticker TICKER = Ticker.system();
    private static final int[] PAYLOAD_BYTES = {16, 1 << 10, 64 << 10};
    private static final int[] HOST_COUNTS = {3, 5, 11};
    private static final int WARM_UP_CALLS = 5_000;
    private static final int MEASURED_CALLS = 20_000;
    private static final Duration IDLE_PERIOD = Duration.ofSeconds(5);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);

    /** The maximum size of a message on the wire beyond its payload, in bytes, without TCP headers. */
    private static final double MAX_OVERHEAD_BYTES = 32;

    /**
     * The maximum rate of outgoing heartbeats of one host, in bytes per second: a tenth of the host's budget of 18 KB
     * per second.
     */
    private static final double MAX_IDLE_BYTES_PER_SECOND = 1_800;

    private PeerNetworkBenchmark() {}

    /**
     * Runs the benchmark.
     *
     * @param arguments ignored
     * @throws InterruptedException if the thread is interrupted
     */
    public static void main(String[] arguments) throws InterruptedException {
        boolean boundsMet = true;
        System.out.println("payload  p50 us  p99 us  wire bytes out/call  in/call");
        for (int length : PAYLOAD_BYTES) {
            boundsMet &= measureCalls(length);
        }
        System.out.println("hosts  heartbeat bytes out/s/host  core share/host  threads/host");
        for (int hosts : HOST_COUNTS) {
            boundsMet &= measureIdle(hosts);
        }
        System.out.println(boundsMet ? "bounds kept" : "bounds missed");
        System.exit(boundsMet ? 0 : 1);
    }

    private static boolean measureCalls(int length) throws InterruptedException {
        try (Closer closer = Closer.create()) {
            List<TcpPeerNetwork> hosts = connect(2, closer);
            TcpPeerNetwork caller = hosts.get(0);
            hosts.get(1).onCall(PeerChannel.LOG_CLIENT, (from, request) -> CompletableFuture.completedFuture(request));
            measureRoundTrips(caller, length, WARM_UP_CALLS);
            long out = caller.counters().bytesOut(PeerChannel.LOG_CLIENT);
            long in = caller.counters().bytesIn(PeerChannel.LOG_CLIENT);
            Histogram nanos = measureRoundTrips(caller, length, MEASURED_CALLS);
            double outPerCall = (double) (caller.counters().bytesOut(PeerChannel.LOG_CLIENT) - out) / MEASURED_CALLS;
            double inPerCall = (double) (caller.counters().bytesIn(PeerChannel.LOG_CLIENT) - in) / MEASURED_CALLS;
            System.out.printf(
                    Locale.ROOT,
                    "%7d %7.0f %7.0f %20.1f %8.1f%n",
                    length,
                    nanos.getValueAtPercentile(50) / 1e3,
                    nanos.getValueAtPercentile(99) / 1e3,
                    outPerCall,
                    inPerCall);
            return outPerCall <= length + MAX_OVERHEAD_BYTES && inPerCall <= length + MAX_OVERHEAD_BYTES;
        }
    }

    private static Histogram measureRoundTrips(TcpPeerNetwork caller, int length, int count) {
        Histogram nanos = new Histogram(3);
        byte[] request = new byte[length];
        HostId callee = HostId.of("e1");
        for (int i = 0; i < count; i++) {
            long startNanos = System.nanoTime();
            caller.call(callee, PeerChannel.LOG_CLIENT, request, Deadline.after(CALL_TIMEOUT, TICKER))
                    .join();
            nanos.recordValue(System.nanoTime() - startNanos);
        }
        return nanos;
    }

    private static boolean measureIdle(int count) throws InterruptedException {
        int threadsBefore = Thread.activeCount();
        try (Closer closer = Closer.create()) {
            List<TcpPeerNetwork> hosts = connect(count, closer);
            long bytes = controlBytes(hosts);
            long cpu = cpuNanos();
            Thread.sleep(IDLE_PERIOD.toMillis());
            double seconds = IDLE_PERIOD.toMillis() / 1e3;
            double bytesPerSecond = (controlBytes(hosts) - bytes) / seconds / count;
            double share = (cpuNanos() - cpu) / 1e9 / seconds / count;
            int threads = (Thread.activeCount() - threadsBefore) / count;
            System.out.printf(Locale.ROOT, "%5d %27.0f %16.4f %13d%n", count, bytesPerSecond, share, threads);
            return bytesPerSecond <= MAX_IDLE_BYTES_PER_SECOND;
        }
    }

    private static long controlBytes(List<TcpPeerNetwork> hosts) {
        return hosts.stream()
                .mapToLong(host -> host.counters().controlBytesOut())
                .sum();
    }

    private static long cpuNanos() {
        var system = (com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        return system.getProcessCpuTime();
    }

    private static List<TcpPeerNetwork> connect(int count, Closer closer) throws InterruptedException {
        DataCentreId dataCentre = DataCentreId.of("dc1");
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        List<TcpPeerNetwork> hosts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            HostId host = HostId.of("e" + i);
            hosts.add(closer.register(
                    TcpPeerNetwork.open(TcpPeerSettings.of("benchmark", host, dataCentre, anyPort), TICKER)));
        }
        List<PeerAddress> peers = hosts.stream()
                .map(host -> new PeerAddress(host.self(), dataCentre, host.listenAddress()))
                .toList();
        hosts.forEach(host -> host.setPeers(peers));
        while (!hosts.stream().allMatch(PeerNetworkBenchmark::allPeersConnected)) {
            Thread.sleep(10);
        }
        return hosts;
    }

    private static boolean allPeersConnected(TcpPeerNetwork host) {
        return host.peers().stream().allMatch(peer -> peer.connected());
    }
}
