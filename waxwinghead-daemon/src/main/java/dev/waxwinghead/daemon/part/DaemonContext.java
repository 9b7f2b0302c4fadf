package dev.waxwinghead.daemon.part;

import dev.waxwinghead.coordination.peer.PeerNetwork;
import dev.waxwinghead.daemon.configuration.ConfigurationView;
import dev.waxwinghead.daemon.http.HttpListener;
import dev.waxwinghead.daemon.settings.DaemonSettings;
import dev.waxwinghead.daemon.state.SharedState;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.time.Ticker;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;

/**
 * Holds what the parts of one daemon share.
 *
 * @param settings the checked settings
 * @param ticker the monotonic clock
 * @param sharedState the shared state
 * @param configuration the configuration in force
 * @param peers the other entry hosts
 * @param callerHttp where callers connect
 * @param workerHttp where workers and upstreams connect
 * @param operatorHttp where operators connect
 * @param meters the metrics
 * @param timer for short periodic work; must not be blocked
 * @param pool for work that may block
 */
public record DaemonContext(
        DaemonSettings settings,
        Ticker ticker,
        SharedState sharedState,
        ConfigurationView configuration,
        PeerNetwork peers,
        HttpListener callerHttp,
        HttpListener workerHttp,
        HttpListener operatorHttp,
        MeterRegistry meters,
        ScheduledExecutorService timer,
        Executor pool) {
    /**
     * Returns the entry host that this daemon is.
     *
     * @return the id, never null
     */
    public HostId self() {
        return settings.host();
    }

    /**
     * Returns the data centre that this daemon is in.
     *
     * @return the id, never null
     */
    public DataCentreId dataCentre() {
        return settings.dataCentre();
    }
}
