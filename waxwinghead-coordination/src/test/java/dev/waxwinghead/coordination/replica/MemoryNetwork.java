package dev.waxwinghead.coordination.replica;

import dev.waxwinghead.coordination.peer.PeerAddress;
import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.coordination.peer.PeerNetwork;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

/** Connects the hosts of a test in memory. Messages from and to an isolated host are lost. */
final class MemoryNetwork implements AutoCloseable {
    private final Map<HostId, Port> ports = new ConcurrentHashMap<>();
    private final Set<HostId> isolatedHosts = ConcurrentHashMap.newKeySet();
    private final ExecutorService executor = Executors.newCachedThreadPool();

    PeerNetwork open(HostId host) {
        Port port = new Port(host);
        ports.put(host, port);
        return port;
    }

    void isolate(HostId host) {
        isolatedHosts.add(host);
    }

    void reconnect(HostId host) {
        isolatedHosts.remove(host);
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private boolean areConnected(HostId from, HostId to) {
        return !isolatedHosts.contains(from) && !isolatedHosts.contains(to);
    }

    /** The network interface of one host. */
    private final class Port implements PeerNetwork {
        private final HostId self;
        private final ExecutorService inbox = Executors.newSingleThreadExecutor();
        private final Map<PeerChannel, MessageHandler> messageHandlers = new ConcurrentHashMap<>();
        private final Map<PeerChannel, CallHandler> callHandlers = new ConcurrentHashMap<>();

        Port(HostId self) {
            this.self = self;
        }

        @Override
        public HostId self() {
            return self;
        }

        @Override
        public void send(HostId to, PeerChannel channel, byte[] message) {
            Port port = ports.get(to);
            if (port != null && areConnected(self, to)) {
                try {
                    port.inbox.execute(() -> port.deliver(self, channel, message));
                } catch (RejectedExecutionException e) {
                    // The port has closed, which loses the message.
                    return;
                }
            }
        }

        @Override
        public CompletableFuture<byte[]> call(HostId to, PeerChannel channel, byte[] request, Deadline deadline) {
            CompletableFuture<byte[]> answer = new CompletableFuture<>();
            Port port = ports.get(to);
            CallHandler handler = port == null ? null : port.callHandlers.get(channel);
            if (handler == null) {
                return CompletableFuture.failedFuture(
                        WaxwingheadException.of(ErrorKind.UNAVAILABLE, to + " is not connected", "start it"));
            }
            if (areConnected(self, to)) {
                CompletableFuture<byte[]> unused = handler.answer(self, request).whenComplete((bytes, failure) -> {
                    if (areConnected(self, to) && failure == null) {
                        answer.complete(bytes);
                    } else if (areConnected(self, to)) {
                        answer.completeExceptionally(failure);
                    }
                });
            }
            long millis = deadline.remaining(Ticker.system()).toMillis();
            return answer.orTimeout(millis, TimeUnit.MILLISECONDS).exceptionallyCompose(e -> {
                WaxwingheadException typed = WaxwingheadException.from(e);
                return CompletableFuture.failedFuture(
                        typed.kind() == ErrorKind.INTERNAL
                                ? WaxwingheadException.of(ErrorKind.UNKNOWN_OUTCOME, "no answer", "ask again")
                                : typed);
            });
        }

        @Override
        public void onMessage(PeerChannel channel, MessageHandler handler) {
            messageHandlers.put(channel, handler);
        }

        @Override
        public void onCall(PeerChannel channel, CallHandler handler) {
            callHandlers.put(channel, handler);
        }

        @Override
        public void setPeers(Collection<PeerAddress> peers) {}

        @Override
        public List<PeerStatus> peers() {
            return ports.keySet().stream()
                    .filter(host -> !host.equals(self))
                    .map(host -> new PeerStatus(host, DataCentreId.of("dc1"), areConnected(self, host), Long.MIN_VALUE))
                    .toList();
        }

        @Override
        public void close() {
            ports.remove(self, this);
            inbox.shutdown();
        }

        private void deliver(HostId from, PeerChannel channel, byte[] message) {
            MessageHandler handler = messageHandlers.get(channel);
            if (handler != null && areConnected(from, self)) {
                handler.receive(from, message);
            }
        }
    }
}
