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
 * Holds the services that the parts of a daemon share.
 *
 * @param settings the validated settings
 * @param ticker the monotonic clock
 * @param sharedState the replicated state
 * @param configuration the configuration in force
 * @param peers the network of entry hosts
 * @param callerHttp the listener for callers
 * @param workerHttp the listener for workers and upstreams
 * @param operatorHttp the listener for operators
 * @param meters the registry of metrics
 * @param timer the executor for short periodic work, which must not block
 * @param pool the executor for work that may block
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
     * Returns the id of the entry host that this daemon runs on.
     *
     * @return the id, never null
     */
    public HostId self() {
        return settings.host();
    }

    /**
     * Returns the data centre of this entry host.
     *
     * @return the id, never null
     */
    public DataCentreId dataCentre() {
        return settings.dataCentre();
    }
}
