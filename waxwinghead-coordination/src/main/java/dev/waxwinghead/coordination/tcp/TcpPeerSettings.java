package dev.waxwinghead.coordination.tcp;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Holds the settings of a {@link TcpPeerNetwork}.
 *
 * @param cluster the name of the cluster; peers of other clusters are refused
 * @param host the id of this entry host
 * @param dataCentre the data centre of this entry host
 * @param listen the address on which peers are accepted; port 0 selects a free port
 * @param heartbeatInterval the time without a sent frame after which a heartbeat is sent
 * @param silenceTimeout the time without a received frame after which a connection is replaced; at least two heartbeat
 *     intervals
 * @param connectTimeout the maximum time to establish a connection
 * @param maxBackoff the maximum pause between attempts to connect
 * @param maxPayloadBytes the maximum size of a message, call or answer, in bytes
 * @param maxQueuedBytes the maximum size of the frames queued for one peer on one channel, in bytes
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
        int maxPayloadBytes,
        int maxQueuedBytes) {
    private static final Duration DEFAULT_HEARTBEAT_INTERVAL = Duration.ofMillis(300);
    private static final Duration DEFAULT_SILENCE_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration DEFAULT_MAX_BACKOFF = Duration.ofMillis(500);
    private static final int DEFAULT_MAX_PAYLOAD_BYTES = 4 << 20;
    private static final int DEFAULT_MAX_QUEUED_BYTES = 16 << 20;

    /** Validates the times and limits. */
    public TcpPeerSettings {
        if (heartbeatInterval.multipliedBy(2).compareTo(silenceTimeout) > 0) {
            throw new IllegalArgumentException("heartbeatInterval must be at most half of silenceTimeout");
        }
        if (maxPayloadBytes < 1 || maxQueuedBytes < maxPayloadBytes) {
            throw new IllegalArgumentException("maxPayloadBytes must be between 1 and maxQueuedBytes");
        }
    }

    /**
     * Returns settings with the default times and limits.
     *
     * @param cluster the name of the cluster, never null
     * @param host the id of this entry host, never null
     * @param dataCentre the data centre of this entry host, never null
     * @param listen the address on which peers are accepted, never null; port 0 selects a free port
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
                DEFAULT_MAX_PAYLOAD_BYTES,
                DEFAULT_MAX_QUEUED_BYTES);
    }

    /**
     * Returns these settings with other limits.
     *
     * @param payloadBytes the maximum size of a message, call or answer, in bytes
     * @param queuedBytes the maximum size of the frames queued for one peer on one channel, in bytes
     * @return the settings, never null
     */
    public TcpPeerSettings withLimits(int payloadBytes, int queuedBytes) {
        return new TcpPeerSettings(
                cluster,
                host,
                dataCentre,
                listen,
                heartbeatInterval,
                silenceTimeout,
                connectTimeout,
                maxBackoff,
                payloadBytes,
                queuedBytes);
    }

    /**
     * Returns these settings with another silence timeout; the heartbeat interval becomes a third of the timeout.
     *
     * @param timeout the time without a received frame after which a connection is replaced, never null
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
                maxPayloadBytes,
                maxQueuedBytes);
    }
}
