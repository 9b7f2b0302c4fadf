package dev.waxwinghead.coordination.tcp;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Holds the settings of a {@link TcpPeerNetwork}.
 *
 * @param cluster the name of the cluster; peers of another name are refused
 * @param host the entry host on this side
 * @param dataCentre its data centre
 * @param listen where peers connect; port 0 picks a free one
 * @param heartbeatInterval after how long without a frame a heartbeat is sent
 * @param silenceTimeout after how long without a frame from the other side a connection is replaced
 * @param connectTimeout how long connecting may take
 * @param maxBackoff the longest pause between attempts to connect
 * @param maxFrameBytes the longest message, call or answer, in bytes
 * @param maxQueuedBytes how many bytes may wait for one peer on one channel
 * @since 0.1
 */
public record TcpPeerSettings(
        String cluster,
        HostId host,
        DataCentreId dataCentre,
        InetSocketAddress listen,
        Duration heartbeatInterval,
        Duration silenceTimeout,
        Duration connectTimeout,
        Duration maxBackoff,
        int maxFrameBytes,
        int maxQueuedBytes) {
    private static final Duration DEFAULT_HEARTBEAT_INTERVAL = Duration.ofMillis(300);
    private static final Duration DEFAULT_SILENCE_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration DEFAULT_MAX_BACKOFF = Duration.ofMillis(500);
    private static final int DEFAULT_MAX_FRAME_BYTES = 4 << 20;
    private static final int DEFAULT_MAX_QUEUED_BYTES = 16 << 20;

    /** Checks the bounds. */
    public TcpPeerSettings {
        if (heartbeatInterval.multipliedBy(2).compareTo(silenceTimeout) > 0) {
            throw new IllegalArgumentException("heartbeatInterval is more than half of silenceTimeout");
        }
        if (maxFrameBytes < 1 || maxQueuedBytes < maxFrameBytes) {
            throw new IllegalArgumentException("maxQueuedBytes is less than maxFrameBytes, or that is not positive");
        }
    }

    /**
     * Returns settings with the default times and bounds.
     *
     * @param cluster the name of the cluster
     * @param host the entry host on this side
     * @param dataCentre its data centre
     * @param listen where peers connect; port 0 picks a free one
     * @return the settings, never null
     */
    public static TcpPeerSettings of(String cluster, HostId host, DataCentreId dataCentre, InetSocketAddress listen) {
        return new TcpPeerSettings(
                cluster,
                host,
                dataCentre,
                listen,
                DEFAULT_HEARTBEAT_INTERVAL,
                DEFAULT_SILENCE_TIMEOUT,
                DEFAULT_CONNECT_TIMEOUT,
                DEFAULT_MAX_BACKOFF,
                DEFAULT_MAX_FRAME_BYTES,
                DEFAULT_MAX_QUEUED_BYTES);
    }

    /**
     * Returns these settings with other bounds.
     *
     * @param frameBytes the longest message, call or answer, in bytes
     * @param queuedBytes how many bytes may wait for one peer on one channel
     * @return the settings, never null
     */
    public TcpPeerSettings withBounds(int frameBytes, int queuedBytes) {
        return new TcpPeerSettings(
                cluster,
                host,
                dataCentre,
                listen,
                heartbeatInterval,
                silenceTimeout,
                connectTimeout,
                maxBackoff,
                frameBytes,
                queuedBytes);
    }

    /**
     * Returns these settings with another silence timeout; heartbeats are sent three times as often.
     *
     * @param timeout after how long without a frame a connection is replaced
     * @return the settings, never null
     */
    public TcpPeerSettings withSilenceTimeout(Duration timeout) {
        return new TcpPeerSettings(
                cluster,
                host,
                dataCentre,
                listen,
                timeout.dividedBy(3),
                timeout,
                connectTimeout,
                maxBackoff,
                maxFrameBytes,
                maxQueuedBytes);
    }
}
