package dev.waxwinghead.daemon.upstreams;

import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.coordination.peer.PeerNetwork;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.UpstreamId;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Exchanges the entries of the {@link UpstreamRegistry} with the other entry hosts.
 *
 * <p>Each host periodically requests from each peer the upstreams announced there. The leases in a response count from
 * the time at which the request was sent, so that a delay can only shorten them. In addition, an upstream that leaves
 * is broadcast immediately.
 */
final class UpstreamGossip {
    static final Duration INTERVAL = Duration.ofMillis(400);
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(2);

    private final UpstreamRegistry registry;
    private final PeerNetwork peers;
    private final Ticker ticker;
    private final long incarnation;
    private final Map<HostId, PeerView> views = new ConcurrentHashMap<>();
    private final Set<HostId> pendingPeers = ConcurrentHashMap.newKeySet();

    private UpstreamGossip(UpstreamRegistry registry, PeerNetwork peers, Ticker ticker, long incarnation) {
        this.registry = registry;
        this.peers = peers;
        this.ticker = ticker;
        this.incarnation = incarnation;
    }

    static UpstreamGossip create(UpstreamRegistry registry, PeerNetwork peers, Ticker ticker, long incarnation) {
        UpstreamGossip gossip = new UpstreamGossip(registry, peers, ticker, incarnation);
        peers.onCall(PeerChannel.UPSTREAMS, (from, request) -> gossip.respond(request));
        peers.onMessage(PeerChannel.UPSTREAMS, (from, message) -> gossip.onLeaving(message));
        return gossip;
    }

    /** Sends a request to each connected peer without a pending request. */
    void requestAll() {
        for (PeerNetwork.PeerStatus peer : peers.peers()) {
            if (peer.connected() && pendingPeers.add(peer.host())) {
                requestFrom(peer.host());
            }
        }
    }

    /** Notifies all peers that an upstream is leaving. */
    void broadcastLeaving(UpstreamId upstream) {
        byte[] message = GossipCodec.packLeaving(upstream);
        for (PeerNetwork.PeerStatus peer : peers.peers()) {
            peers.send(peer.host(), PeerChannel.UPSTREAMS, message);
        }
    }

    private void requestFrom(HostId peer) {
        PeerView view = views.computeIfAbsent(peer, host -> new PeerView());
        long requestedAt = ticker.nanos();
        byte[] request = GossipCodec.pack(view.createRequest());
        peers.call(peer, PeerChannel.UPSTREAMS, request, Deadline.after(RESPONSE_TIMEOUT, ticker))
                .thenAccept(response -> view.apply(GossipCodec.unpackResponse(response), requestedAt))
                .whenComplete((done, failure) -> pendingPeers.remove(peer))
                .exceptionally(failure -> null);
    }

    private CompletableFuture<byte[]> respond(byte[] bytes) {
        GossipCodec.Request request = GossipCodec.unpackRequest(bytes);
        long seen = request.incarnation() == incarnation ? request.version() : 0;
        long version = registry.version();
        List<GossipCodec.Description> descriptions = new ArrayList<>();
        List<GossipCodec.Renewal> renewals = new ArrayList<>();
        for (UpstreamEntry entry : registry.snapshot()) {
            if (!entry.isAnnouncedLocally(ticker)) {
                continue;
            }
            if (entry.version() > seen) {
                descriptions.add(new GossipCodec.Description(entry.number(), entry.upstream(), entry.leaving()));
            }
            renewals.add(new GossipCodec.Renewal(
                    entry.number(), entry.localLease().remaining(ticker).toMillis()));
        }
        return CompletableFuture.completedFuture(
                GossipCodec.pack(new GossipCodec.Response(incarnation, version, descriptions, renewals)));
    }

    private void onLeaving(byte[] message) {
        registry.leave(GossipCodec.unpackLeaving(message));
    }

    /** Holds the descriptions received from a peer by the numbers that the peer has assigned to them. */
    private final class PeerView {
        private final Map<Long, GossipCodec.Description> descriptionsByNumber = new HashMap<>();
        private long peerIncarnation;
        private long peerVersion;

        synchronized GossipCodec.Request createRequest() {
            return new GossipCodec.Request(peerIncarnation, peerVersion);
        }

        synchronized void apply(GossipCodec.Response response, long requestedAt) {
            if (response.incarnation() != peerIncarnation) {
                descriptionsByNumber.clear();
                peerIncarnation = response.incarnation();
            }
            peerVersion = response.version();
            for (GossipCodec.Description description : response.descriptions()) {
                descriptionsByNumber.put(description.number(), description);
            }
            Map<Long, GossipCodec.Description> current = new HashMap<>();
            for (GossipCodec.Renewal renewal : response.renewals()) {
                GossipCodec.Description description = descriptionsByNumber.get(renewal.number());
                if (description == null) {
                    peerVersion = 0;
                    continue;
                }
                current.put(renewal.number(), description);
                Deadline lease = new Deadline(requestedAt
                        + Duration.ofMillis(renewal.remainingMillis()).toNanos());
                registry.merge(description.upstream(), description.leaving(), lease);
            }
            descriptionsByNumber.keySet().retainAll(current.keySet());
        }
    }
}
