package dev.waxwinghead.daemon.shares;

import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.coordination.peer.PeerNetwork;
import dev.waxwinghead.daemon.part.DaemonContext;
import dev.waxwinghead.daemon.part.DaemonPart;
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
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Shares slots and connections of upstreams between entry hosts: each owns a fixed part of those in its data centre and
 * lends it by demand, to itself first of all when nobody else wants it.
 */
public final class SharesPart implements DaemonPart {
    private static final long RENEW_MILLIS = 100;
    private static final Duration ANSWER_TIME = Duration.ofMillis(1_500);
    private static final long LEAST_ASK_INTERVAL_NANOS = 5_000_000;

    private final UpstreamsPart upstreams;
    private final Closer closer = Closer.create();
    private final Set<HostId> asking = ConcurrentHashMap.newKeySet();
    private final Set<HostId> heardFrom = ConcurrentHashMap.newKeySet();
    private final AtomicLong askedAt = new AtomicLong();
    private volatile Shares shares;
    private volatile Ownership ownership;
    private volatile DaemonContext context;
    private volatile Deadline earlierLoansEnd;
    private volatile Runnable onGain = () -> {};

    private SharesPart(UpstreamsPart upstreams) {
        this.upstreams = upstreams;
    }

    /**
     * Returns the part, not started yet.
     *
     * @param upstreams the registry's part, started before this one
     * @return the part, never null
     */
    public static SharesPart create(UpstreamsPart upstreams) {
        return new SharesPart(upstreams);
    }

    /**
     * Calls the listener when shares may have grown.
     *
     * @param listener must not block
     */
    public void onGain(Runnable listener) {
        onGain = listener;
    }

    /**
     * Returns how much of an upstream this host may have in use now.
     *
     * @param upstream the upstream
     * @param resource the resource
     * @return the number, 0 or more
     */
    public int limit(Upstream upstream, Resource resource) {
        return shares.limit(upstream, resource, ticker().nanos());
    }

    /**
     * Takes one into use if the shares allow it.
     *
     * @param upstream the upstream
     * @param resource the resource
     * @return true if {@link #ended} must follow
     */
    public boolean tryStart(Upstream upstream, Resource resource) {
        return shares.tryStart(upstream, resource, ticker().nanos());
    }

    /**
     * Gives one back.
     *
     * @param upstream the upstream
     * @param resource the resource
     */
    public void ended(Upstream upstream, Resource resource) {
        shares.ended(upstream, resource);
    }

    /**
     * Asks the owners for more, since requests wait.
     *
     * @param wanted the upstreams that could serve them
     * @param resource the resource
     * @param waiting how many requests wait, 1 or more
     */
    public void wanted(Collection<Upstream> wanted, Resource resource, int waiting) {
        long now = ticker().nanos();
        long last = askedAt.get();
        if (now - last >= LEAST_ASK_INTERVAL_NANOS && askedAt.compareAndSet(last, now)) {
            shares.wanted(wanted, resource, waiting, now);
            context.pool().execute(this::askAll);
        }
    }

    /**
     * Returns how many must be given up at once, since their lease is long over.
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
    public void start(DaemonContext given) {
        context = given;
        ownership = Ownership.of(given.settings().peers());
        earlierLoansEnd = Deadline.after(Duration.ofNanos(ShareTerms.DEFAULT.countedNanos()), given.ticker());
        shares = Shares.create(
                given.self(), ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE), ownership, ShareTerms.DEFAULT);
        given.peers().onCall(PeerChannel.SHARES, this::answer);
        openIfSafe();
        ScheduledFuture<?> ticking =
                given.timer().scheduleWithFixedDelay(this::tick, 0, RENEW_MILLIS, TimeUnit.MILLISECONDS);
        closer.register(() -> ticking.cancel(false));
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
        shares.retain(upstreams.registry().known().keySet());
        shares.renewOwn(ticker().nanos());
        askAll();
    }

    /** Opens once every peer has told what it keeps of an earlier life's loans, or those have ended. */
    private void openIfSafe() {
        boolean allHeard =
                ownership.hosts().stream().allMatch(host -> host.equals(context.self()) || heardFrom.contains(host));
        if (!shares.isOpen() && (allHeard || earlierLoansEnd.passed(ticker()))) {
            shares.open();
            onGain.run();
        }
    }

    private void askAll() {
        for (PeerNetwork.PeerStatus peer : context.peers().peers()) {
            if (peer.connected() && asking.add(peer.host())) {
                ask(peer.host());
            }
        }
    }

    private void ask(HostId owner) {
        long sentAt = ticker().nanos();
        ShareCodec.Ask ask = shares.ask(owner, sentAt);
        context.peers()
                .call(owner, PeerChannel.SHARES, ShareCodec.packAsk(ask), Deadline.after(ANSWER_TIME, ticker()))
                .thenAccept(answer -> shares.answered(owner, ask, ShareCodec.unpackLimits(answer), sentAt))
                .whenComplete((done, failure) -> {
                    asking.remove(owner);
                    if (failure == null && !ask.requests().isEmpty()) {
                        onGain.run();
                    }
                })
                .exceptionally(failure -> null);
    }

    private CompletableFuture<byte[]> answer(HostId from, byte[] bytes) {
        heardFrom.add(from);
        Map<UpstreamId, Upstream> known = upstreams.registry().known();
        Map<ShareKey, Integer> limits = shares.answer(from, ShareCodec.unpackAsk(bytes), known, ticker().nanos());
        return CompletableFuture.completedFuture(ShareCodec.packLimits(limits));
    }

    private Ticker ticker() {
        return context.ticker();
    }
}
