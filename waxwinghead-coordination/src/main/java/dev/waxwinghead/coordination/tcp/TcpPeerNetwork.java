package dev.waxwinghead.coordination.tcp;

import dev.waxwinghead.coordination.peer.PeerAddress;
import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.coordination.peer.PeerNetwork;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.lifecycle.Closer;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Implements {@link PeerNetwork} over TCP.
 *
 * <p>This host dials each peer and maintains one connection to it; peers dial this host likewise. A connection on which
 * nothing arrives within the silence timeout is replaced: both sides send heartbeats while they have nothing else to
 * send. Peers of another cluster or protocol version are refused with kind {@code INCOMPATIBLE_PEER} and dialled again
 * after a backoff. Four threads serve each peer, and two this host.
 *
 * @since 0.1
 */
public final class TcpPeerNetwork implements PeerNetwork {
    private final TcpPeerSettings settings;
    private final Ticker ticker;
    private final TcpPeerCounters counters = new TcpPeerCounters();
    private final StateChangeLogger stateLogger = new StateChangeLogger();
    private final HandlerRegistry handlers = new HandlerRegistry();
    private final Closer closer = Closer.create();
    private final ExecutorService executor = Executors.newCachedThreadPool(daemonThreadFactory("peer-connection"));
    private final ScheduledThreadPoolExecutor callTimers =
            new ScheduledThreadPoolExecutor(1, daemonThreadFactory("peer-call-timer"));
    private final Listener listener;
    private volatile Map<HostId, OutgoingLink> links = Map.of();

    private TcpPeerNetwork(TcpPeerSettings settings, Ticker ticker) throws IOException {
        this.settings = settings;
        this.ticker = ticker;
        this.listener = new Listener(settings, handlers, counters, stateLogger, executor, ticker);
        callTimers.setRemoveOnCancelPolicy(true);
        closer.register(executor::shutdownNow);
        closer.register(callTimers::shutdownNow);
        closer.register(listener);
        closer.register(this::closeLinks);
    }

    /**
     * Opens the peer port. There are no peers until {@link #setPeers} is called.
     *
     * @param settings the settings, never null
     * @param ticker the clock for deadlines and timeouts, never null
     * @return the network, never null
     * @throws WaxwingheadException of kind {@code UNAVAILABLE} if the port can't be opened
     */
    public static TcpPeerNetwork open(TcpPeerSettings settings, Ticker ticker) {
        try {
            TcpPeerNetwork network = new TcpPeerNetwork(settings, ticker);
            network.start();
            return network;
        } catch (IOException e) {
            throw WaxwingheadException.of(
                    ErrorKind.UNAVAILABLE,
                    "can't listen for peers on " + settings.listen() + ": " + e.getMessage(),
                    "correct the peer address in the settings or free the port",
                    e);
        }
    }

    private void start() throws IOException {
        try {
            listener.start();
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    /**
     * Returns the address on which this host accepts peers.
     *
     * @return the address with the bound port, never null
     */
    public InetSocketAddress listenAddress() {
        return listener.address();
    }

    /**
     * Returns the counters of this network, which are updated live.
     *
     * @return the counters, never null
     */
    public TcpPeerCounters counters() {
        return counters;
    }

    @Override
    public HostId self() {
        return settings.host();
    }

    @Override
    public void send(HostId to, PeerChannel channel, byte[] message) {
        checkLength("message", message);
        OutgoingLink link = links.get(to);
        if (link == null) {
            counters.countDroppedMessage();
        } else {
            link.send(channel, message);
        }
    }

    @Override
    public CompletableFuture<byte[]> call(HostId to, PeerChannel channel, byte[] request, Deadline deadline) {
        checkLength("request", request);
        OutgoingLink link = links.get(to);
        if (link == null) {
            return CompletableFuture.failedFuture(WaxwingheadException.of(
                    ErrorKind.UNAVAILABLE, to + " is not a known peer", "repeat the call on another host"));
        }
        PendingCall call = link.call(channel, request);
        if (!call.answer().isDone()) {
            applyDeadline(call, deadline);
        }
        return call.answer();
    }

    private void applyDeadline(PendingCall call, Deadline deadline) {
        long nanos = deadline.remaining(ticker).toNanos();
        var timer = callTimers.schedule(() -> call.abandon("its deadline passed"), nanos, TimeUnit.NANOSECONDS);
        call.onEnd(() -> timer.cancel(false));
    }

    private void checkLength(String argument, byte[] bytes) {
        if (bytes.length > settings.maxPayloadBytes()) {
            throw tooLarge(argument, bytes.length, settings.maxPayloadBytes());
        }
    }

    static WaxwingheadException tooLarge(String subject, int length, int limit) {
        return WaxwingheadException.of(
                ErrorKind.TOO_LARGE,
                subject + " has " + length + " bytes, the limit is " + limit,
                "split it into smaller parts");
    }

    @Override
    public void onMessage(PeerChannel channel, MessageHandler handler) {
        handlers.onMessage(channel, handler);
    }

    @Override
    public void onCall(PeerChannel channel, CallHandler handler) {
        handlers.onCall(channel, handler);
    }

    @Override
    public synchronized void setPeers(Collection<PeerAddress> peers) {
        Map<HostId, OutgoingLink> newLinks = new HashMap<>();
        for (PeerAddress peer : peers) {
            if (!peer.host().equals(settings.host())) {
                newLinks.put(peer.host(), findOrCreateLink(peer));
            }
        }
        Collection<OutgoingLink> previous = links.values();
        links = Map.copyOf(newLinks);
        previous.stream().filter(link -> !newLinks.containsValue(link)).forEach(OutgoingLink::close);
    }

    private OutgoingLink findOrCreateLink(PeerAddress peer) {
        OutgoingLink existing = links.get(peer.host());
        if (existing != null && existing.peer().equals(peer)) {
            return existing;
        }
        OutgoingLink link = new OutgoingLink(peer, settings, counters, stateLogger, executor, ticker);
        link.start();
        return link;
    }

    @Override
    public List<PeerStatus> peers() {
        return links.values().stream().map(this::status).toList();
    }

    private PeerStatus status(OutgoingLink link) {
        HostId host = link.peer().host();
        long lastHeard = Math.max(link.lastHeardNanos(), listener.lastHeardNanos(host));
        return new PeerStatus(host, link.peer().dataCentre(), link.connected(), lastHeard);
    }

    @Override
    public void close() {
        closer.close();
    }

    private synchronized void closeLinks() {
        links.values().forEach(OutgoingLink::close);
        links = Map.of();
    }

    private static ThreadFactory daemonThreadFactory(String name) {
        AtomicInteger count = new AtomicInteger();
        return task -> {
            Thread thread = new Thread(task, name + "-" + count.incrementAndGet());
            thread.setDaemon(true);
            return thread;
        };
    }
}
