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
 * Exchanges messages over TCP.
 *
 * <p>This host dials each peer and keeps one connection to it; peers dial this host likewise. A connection on which
 * nothing arrives for the silence timeout is replaced: both sides send heartbeats while they have nothing else to send.
 * Peers of another cluster or protocol version are refused with kind {@code INCOMPATIBLE_PEER} and retried with a
 * pause. Four threads serve each peer, and two this host.
 *
 * @since 0.1
 */
public final class TcpPeerNetwork implements PeerNetwork {
    private final TcpPeerSettings settings;
    private final Ticker ticker;
    private final TcpPeerCounters counters = new TcpPeerCounters();
    private final StateChanges states = new StateChanges();
    private final Handlers handlers = new Handlers();
    private final Closer closer = Closer.create();
    private final ExecutorService executor = Executors.newCachedThreadPool(daemonThreads("peer-connection"));
    private final ScheduledThreadPoolExecutor timers =
            new ScheduledThreadPoolExecutor(1, daemonThreads("peer-call-timer"));
    private final Listener listener;
    private volatile Map<HostId, OutgoingLink> links = Map.of();

    private TcpPeerNetwork(TcpPeerSettings settings, Ticker ticker) throws IOException {
        this.settings = settings;
        this.ticker = ticker;
        this.listener = new Listener(settings, handlers, counters, states, executor, ticker);
        timers.setRemoveOnCancelPolicy(true);
        closer.register(executor::shutdownNow);
        closer.register(timers::shutdownNow);
        closer.register(listener);
        closer.register(this::closeLinks);
    }

    /**
     * Opens the peer port. There are no peers until {@link #setPeers} is called.
     *
     * @param settings the settings
     * @param ticker the clock of the deadlines
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
     * Returns where peers connect.
     *
     * @return the address with the port in use, never null
     */
    public InetSocketAddress listenAddress() {
        return listener.address();
    }

    /**
     * Returns the counters.
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
                    ErrorKind.UNAVAILABLE, to + " is not among the peers", "repeat the call on another host"));
        }
        PendingCall call = link.call(channel, request);
        if (!call.answer().isDone()) {
            limit(call, deadline);
        }
        return call.answer();
    }

    private void limit(PendingCall call, Deadline deadline) {
        long nanos = deadline.remaining(ticker).toNanos();
        var timer = timers.schedule(() -> call.abandon("its deadline passed"), nanos, TimeUnit.NANOSECONDS);
        call.onEnd(() -> timer.cancel(false));
    }

    private void checkLength(String argument, byte[] bytes) {
        if (bytes.length > settings.maxFrameBytes()) {
            throw tooLarge(argument, bytes.length, settings.maxFrameBytes());
        }
    }

    static WaxwingheadException tooLarge(String what, int length, int bound) {
        return WaxwingheadException.of(
                ErrorKind.TOO_LARGE, what + " has " + length + " bytes, at most " + bound, "send it in parts");
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
        Map<HostId, OutgoingLink> kept = new HashMap<>();
        for (PeerAddress peer : peers) {
            if (!peer.host().equals(settings.host())) {
                kept.put(peer.host(), linkTo(peer));
            }
        }
        Collection<OutgoingLink> before = links.values();
        links = Map.copyOf(kept);
        before.stream().filter(link -> !kept.containsValue(link)).forEach(OutgoingLink::close);
    }

    private OutgoingLink linkTo(PeerAddress peer) {
        OutgoingLink existing = links.get(peer.host());
        if (existing != null && existing.peer().equals(peer)) {
            return existing;
        }
        OutgoingLink link = new OutgoingLink(peer, settings, counters, states, executor, ticker);
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

    private static ThreadFactory daemonThreads(String name) {
        AtomicInteger count = new AtomicInteger();
        return task -> {
            Thread thread = new Thread(task, name + "-" + count.incrementAndGet());
            thread.setDaemon(true);
            return thread;
        };
    }
}
