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
 * Exchanges the registry with the other entry hosts.
 *
 * <p>Each host asks each peer in turn what is announced there. The leases in an answer count from when the question was
 * sent, so that a delay can only shorten them. Leaving is told at once besides.
 */
final class UpstreamGossip {
    static final Duration INTERVAL = Duration.ofMillis(400);
    private static final Duration ANSWER_TIME = Duration.ofSeconds(2);

    private final UpstreamRegistry registry;
    private final PeerNetwork peers;
    private final Ticker ticker;
    private final long incarnation;
    private final Map<HostId, PeerView> views = new ConcurrentHashMap<>();
    private final Set<HostId> asked = ConcurrentHashMap.newKeySet();

    private UpstreamGossip(UpstreamRegistry registry, PeerNetwork peers, Ticker ticker, long incarnation) {
        this.registry = registry;
        this.peers = peers;
        this.ticker = ticker;
        this.incarnation = incarnation;
    }

    static UpstreamGossip create(UpstreamRegistry registry, PeerNetwork peers, Ticker ticker, long incarnation) {
        UpstreamGossip gossip = new UpstreamGossip(registry, peers, ticker, incarnation);
        peers.onCall(PeerChannel.UPSTREAMS, (from, question) -> gossip.answer(question));
        peers.onMessage(PeerChannel.UPSTREAMS, (from, message) -> gossip.onLeaving(message));
        return gossip;
    }

    /** Asks every connected peer that has no question open. */
    void askAll() {
        for (PeerNetwork.PeerStatus peer : peers.peers()) {
            if (peer.connected() && asked.add(peer.host())) {
                ask(peer.host());
            }
        }
    }

    /** Tells all peers that an upstream leaves. */
    void tellLeaving(UpstreamId upstream) {
        byte[] message = GossipCodec.packLeaving(upstream);
        for (PeerNetwork.PeerStatus peer : peers.peers()) {
            peers.send(peer.host(), PeerChannel.UPSTREAMS, message);
        }
    }

    private void ask(HostId peer) {
        PeerView view = views.computeIfAbsent(peer, host -> new PeerView());
        long askedAt = ticker.nanos();
        byte[] question = GossipCodec.pack(view.question());
        peers.call(peer, PeerChannel.UPSTREAMS, question, Deadline.after(ANSWER_TIME, ticker))
                .thenAccept(answer -> view.apply(GossipCodec.unpackAnswer(answer), askedAt))
                .whenComplete((done, failure) -> asked.remove(peer))
                .exceptionally(failure -> null);
    }

    private CompletableFuture<byte[]> answer(byte[] bytes) {
        GossipCodec.Question question = GossipCodec.unpackQuestion(bytes);
        long seen = question.incarnation() == incarnation ? question.version() : 0;
        long version = registry.version();
        List<GossipCodec.Description> descriptions = new ArrayList<>();
        List<GossipCodec.Renewal> renewals = new ArrayList<>();
        for (UpstreamEntry entry : registry.snapshot()) {
            if (!entry.announcedHere(ticker)) {
                continue;
            }
            if (entry.version() > seen) {
                descriptions.add(new GossipCodec.Description(entry.number(), entry.upstream(), entry.leaving()));
            }
            renewals.add(new GossipCodec.Renewal(
                    entry.number(), entry.localLease().remaining(ticker).toMillis()));
        }
        return CompletableFuture.completedFuture(
                GossipCodec.pack(new GossipCodec.Answer(incarnation, version, descriptions, renewals)));
    }

    private void onLeaving(byte[] message) {
        registry.leave(GossipCodec.unpackLeaving(message));
    }

    /** Remembers the numbers under which a peer speaks of upstreams. */
    private final class PeerView {
        private final Map<Long, GossipCodec.Description> described = new HashMap<>();
        private long peerIncarnation;
        private long peerVersion;

        synchronized GossipCodec.Question question() {
            return new GossipCodec.Question(peerIncarnation, peerVersion);
        }

        synchronized void apply(GossipCodec.Answer answer, long askedAt) {
            if (answer.incarnation() != peerIncarnation) {
                described.clear();
                peerIncarnation = answer.incarnation();
            }
            peerVersion = answer.version();
            for (GossipCodec.Description description : answer.descriptions()) {
                described.put(description.number(), description);
            }
            Map<Long, GossipCodec.Description> current = new HashMap<>();
            for (GossipCodec.Renewal renewal : answer.renewals()) {
                GossipCodec.Description description = described.get(renewal.number());
                if (description == null) {
                    peerVersion = 0;
                    continue;
                }
                current.put(renewal.number(), description);
                Deadline lease = new Deadline(
                        askedAt + Duration.ofMillis(renewal.remainingMillis()).toNanos());
                registry.merge(description.upstream(), description.leaving(), lease);
            }
            described.keySet().retainAll(current.keySet());
        }
    }
}
