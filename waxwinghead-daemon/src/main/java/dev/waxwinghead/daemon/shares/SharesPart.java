package dev.waxwinghead.daemon.shares;

import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.coordination.peer.PeerNetwork;
import dev.waxwinghead.daemon.part.DaemonContext;
import dev.waxwinghead.daemon.part.DaemonPart;
import dev.waxwinghead.daemon.part.PeriodicTask;
import dev.waxwinghead.daemon.state.StateSection;
import dev.waxwinghead.daemon.upstreams.Upstream;
import dev.waxwinghead.daemon.upstreams.UpstreamsPart;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.UpstreamId;
import dev.waxwinghead.model.lifecycle.Closer;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import dev.waxwinghead.scheduling.routing.ShareTerms;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Shares slots and connections of upstreams between entry hosts: each host owns a fixed part of those in its data
 * centre and leases that part by demand, to itself first as long as no other host requests the part.
 */
public final class SharesPart implements DaemonPart {
    private static final long RENEWAL_INTERVAL_MILLIS = 100;
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(1_500);
    private static final long MIN_REQUEST_INTERVAL_NANOS = 5_000_000;

    private final UpstreamsPart upstreams;
    private final Closer closer = Closer.create();
    private final Set<HostId> pendingOwners = ConcurrentHashMap.newKeySet();
    private final Set<HostId> heardPeers = ConcurrentHashMap.newKeySet();
    private final AtomicLong lastRequestNanos = new AtomicLong();
    private volatile Shares shares;
    private volatile Ownership ownership;
    private volatile DaemonContext context;
    private volatile Deadline earlierLeasesEnd;
    private volatile Runnable onIncrease = () -> {};

    private SharesPart(UpstreamsPart upstreams) {
        this.upstreams = upstreams;
    }

    /**
     * Creates a part that is not started.
     *
     * @param upstreams the part with the upstream registry, which must be started first
     * @return the part, never null
     */
    public static SharesPart create(UpstreamsPart upstreams) {
        return new SharesPart(upstreams);
    }

    /**
     * Sets the listener to call when the shares of this host may have grown.
     *
     * @param listener the listener; must not block
     */
    public void onIncrease(Runnable listener) {
        onIncrease = listener;
    }

    /**
     * Returns how much of a resource this host may use now.
     *
     * @param upstream the upstream
     * @param resource the resource
     * @return the number, 0 or more
     */
    public int limit(Upstream upstream, Resource resource) {
        return shares.limit(upstream, resource, ticker().nanos());
    }

    /**
     * Acquires one unit of a resource if the shares of this host allow.
     *
     * @param upstream the upstream
     * @param resource the resource
     * @return whether the unit was acquired; {@link #release} must follow if so
     */
    public boolean tryAcquire(Upstream upstream, Resource resource) {
        return shares.tryAcquire(upstream, resource, ticker().nanos());
    }

    /**
     * Releases one unit of a resource.
     *
     * @param upstream the upstream
     * @param resource the resource
     */
    public void release(Upstream upstream, Resource resource) {
        shares.release(upstream, resource);
    }

    /**
     * Requests more of a resource from the owners, since requests wait.
     *
     * @param wanted the upstreams that could serve the waiting requests
     * @param resource the resource
     * @param waiting the number of waiting requests, 1 or more
     */
    public void requestMore(Collection<Upstream> wanted, Resource resource, int waiting) {
        long now = ticker().nanos();
        long last = lastRequestNanos.get();
        if (now - last >= MIN_REQUEST_INTERVAL_NANOS && lastRequestNanos.compareAndSet(last, now)) {
            shares.requestMore(wanted, resource, waiting, now);
            context.pool().execute(this::sendAllRequests);
        }
    }

    /**
     * Returns how many requests or feeds must be ended immediately, since their lease has long expired.
     *
     * @param upstream the upstream
     * @param resource the resource
     * @return the number, 0 or more
     */
    public int excess(Upstream upstream, Resource resource) {
        return shares.excess(upstream, resource, ticker().nanos());
    }

    @Override
    public List<StateSection> sections() {
        return List.of();
    }

    @Override
    public void start(DaemonContext daemonContext) {
        context = daemonContext;
        ownership = Ownership.of(daemonContext.settings().peers());
        earlierLeasesEnd =
                Deadline.after(Duration.ofNanos(ShareTerms.DEFAULT.committedNanos()), daemonContext.ticker());
        shares = Shares.create(
                daemonContext.self(),
                ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE),
                ownership,
                ShareTerms.DEFAULT);
        daemonContext.peers().onCall(PeerChannel.SHARES, this::answer);
        openIfSafe();
        closer.register(
                PeriodicTask.startNow(daemonContext.timer(), RENEWAL_INTERVAL_MILLIS, "share-renewal", this::tick));
    }

    @Override
    public CompletableFuture<Void> drain(Deadline deadline) {
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public Map<String, Object> status() {
        return Map.of("lends", shares.isOpen());
    }

    @Override
    public void close() {
        closer.close();
    }

    private void tick() {
        openIfSafe();
        shares.retain(upstreams.registry().upstreamsById().keySet());
        shares.renewOwnShares(ticker().nanos());
        sendAllRequests();
    }

    /**
     * Allows leasing once every peer has reported what it keeps of the leases of an earlier incarnation, or those
     * leases have expired.
     */
    private void openIfSafe() {
        boolean allHeard =
                ownership.hosts().stream().allMatch(host -> host.equals(context.self()) || heardPeers.contains(host));
        if (!shares.isOpen() && (allHeard || earlierLeasesEnd.passed(ticker()))) {
            shares.open();
            onIncrease.run();
        }
    }

    private void sendAllRequests() {
        for (PeerNetwork.PeerStatus peer : context.peers().peers()) {
            if (peer.connected() && pendingOwners.add(peer.host())) {
                sendRequests(peer.host());
            }
        }
    }

    private void sendRequests(HostId owner) {
        long sentAt = ticker().nanos();
        ShareCodec.RequestBatch batch = shares.nextRequests(owner, sentAt);
        context.peers()
                .call(
                        owner,
                        PeerChannel.SHARES,
                        ShareCodec.packRequests(batch),
                        Deadline.after(ANSWER_TIMEOUT, ticker()))
                .thenAccept(answer -> shares.applyAnswer(owner, batch, ShareCodec.unpackLimits(answer), sentAt))
                .whenComplete((done, failure) -> {
                    pendingOwners.remove(owner);
                    if (failure == null && !batch.requests().isEmpty()) {
                        onIncrease.run();
                    }
                })
                .exceptionally(failure -> null);
    }

    private CompletableFuture<byte[]> answer(HostId from, byte[] bytes) {
        heardPeers.add(from);
        Map<UpstreamId, Upstream> known = upstreams.registry().upstreamsById();
        Map<ShareKey, Integer> limits = shares.answer(from, ShareCodec.unpackRequests(bytes), known, ticker().nanos());
        return CompletableFuture.completedFuture(ShareCodec.packLimits(limits));
    }

    private Ticker ticker() {
        return context.ticker();
    }
}
