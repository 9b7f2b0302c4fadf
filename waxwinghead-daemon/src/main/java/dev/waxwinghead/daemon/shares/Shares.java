package dev.waxwinghead.daemon.shares;

import dev.waxwinghead.daemon.upstreams.Upstream;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.UpstreamId;
import dev.waxwinghead.scheduling.routing.ShareDemand;
import dev.waxwinghead.scheduling.routing.ShareHolder;
import dev.waxwinghead.scheduling.routing.ShareOwner;
import dev.waxwinghead.scheduling.routing.ShareRequest;
import dev.waxwinghead.scheduling.routing.ShareTerms;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;

/**
 * Holds the shares of upstreams that this entry host owns and leases to other hosts, and those leased to this host.
 *
 * <p>All state is guarded by this object, and no other lock is taken inside. Times are nanoseconds of this host's
 * monotonic clock.
 */
final class Shares {

    private final HostId self;
    private final long incarnation;
    private final Ownership ownership;
    private final ShareTerms terms;
    private final Map<ShareKey, Share> shares = new HashMap<>();
    private final Map<ShareKey, ShareOwner> ownedShares = new HashMap<>();
    private final Random random = new Random();
    private boolean open;
    private long sequence;

    private Shares(HostId self, long incarnation, Ownership ownership, ShareTerms terms) {
        this.self = self;
        this.incarnation = incarnation;
        this.ownership = ownership;
        this.terms = terms;
    }

    static Shares create(HostId self, long incarnation, Ownership ownership, ShareTerms terms) {
        return new Shares(self, incarnation, ownership, terms);
    }

    /** Allows this host to lease the shares that it owns. */
    synchronized void open() {
        open = true;
        ownedShares.values().forEach(ShareOwner::open);
    }

    synchronized boolean isOpen() {
        return open;
    }

    /**
     * Returns how much this host may use now. On an owner, this counts what the owned share would grant this host if it
     * requested one unit more than it uses.
     */
    synchronized int limit(Upstream upstream, Resource resource, long now) {
        Share share = share(upstream, resource);
        int limit = share.holder.limit(now);
        if (ownership.ownedAmount(upstream, resource, self) == 0) {
            return limit;
        }
        int offer = owner(upstream, resource).offer(self + "@" + incarnation, share.holder.inUse() + 1, true, now);
        return Math.max(limit, limit - share.holder.limitFrom(self, now) + offer);
    }

    synchronized boolean tryAcquire(Upstream upstream, Resource resource, long now) {
        Share share = share(upstream, resource);
        if (share.holder.inUse() >= share.holder.limit(now)) {
            grantToSelf(upstream, resource, share, share.holder.inUse() + 1, now);
        }
        return share.holder.tryStart(now);
    }

    synchronized void release(Upstream upstream, Resource resource) {
        share(upstream, resource).holder.ended();
    }

    /**
     * Records the demand of waiting requests: one unit above the limit at as many upstreams as requests wait, chosen at
     * random, both among those that this host owns a share of and among the others.
     */
    synchronized void requestMore(Collection<Upstream> upstreams, Resource resource, int waiting, long now) {
        List<Upstream> shuffled = new ArrayList<>(upstreams);
        Collections.shuffle(shuffled, random);
        int ownedRemaining = waiting;
        int otherRemaining = waiting;
        for (Upstream upstream : shuffled) {
            boolean isOwner = ownership.owners(upstream).contains(self);
            int remaining = isOwner ? ownedRemaining-- : otherRemaining--;
            if (remaining > 0) {
                Share share = share(upstream, resource);
                share.demand.recordDemand(share.holder.limit(now) + 1, now);
            }
        }
    }

    /** Returns how many requests or feeds must be ended immediately. */
    synchronized int excess(Upstream upstream, Resource resource, long now) {
        return share(upstream, resource).holder.excess(now);
    }

    /** Returns the next requests to an owner, and lowers this host's limits to the amounts that the requests keep. */
    synchronized ShareCodec.RequestBatch nextRequests(HostId owner, long now) {
        Map<ShareKey, ShareRequest> requests = new LinkedHashMap<>();
        shares.forEach((key, share) -> {
            if (ownership.ownedAmount(share.upstream, key.resource(), owner) == 0) {
                return;
            }
            ShareRequest request = share.request(owner, ++sequence, now);
            if (request.keep() > 0 || request.want() > 0 || share.hasRequestedFrom(owner)) {
                requests.put(key, request);
                share.recordRequest(owner, request);
            }
        });
        return new ShareCodec.RequestBatch(incarnation, requests);
    }

    /** Applies an owner's answer to a batch of requests. */
    synchronized void applyAnswer(
            HostId owner, ShareCodec.RequestBatch batch, Map<ShareKey, Integer> limits, long sentAt) {
        limits.forEach((key, limit) -> {
            Share share = shares.get(key);
            ShareRequest request = batch.requests().get(key);
            if (share != null && request != null) {
                share.holder.applyAnswer(owner, request.sequence(), limit, sentAt);
            }
        });
    }

    /**
     * Answers a batch of requests as their owner, after releasing the part of its own lease that this host does not
     * use. The answer omits upstreams that this host does not know.
     */
    synchronized Map<ShareKey, Integer> answer(
            HostId from, ShareCodec.RequestBatch batch, Map<UpstreamId, Upstream> known, long now) {
        Map<ShareKey, Integer> limits = new LinkedHashMap<>();
        batch.requests().forEach((key, request) -> {
            Upstream upstream = known.get(key.upstream());
            if (upstream != null) {
                Share own = share(upstream, key.resource());
                grantToSelf(upstream, key.resource(), own, own.holder.inUse(), now);
                owner(upstream, key.resource())
                        .answer(from + "@" + batch.incarnation(), request, now)
                        .ifPresent(limit -> limits.put(key, limit));
            }
        });
        return limits;
    }

    /** Renews the leases of this host on the shares that it owns. */
    synchronized void renewOwnShares(long now) {
        shares.forEach((key, share) -> grantToSelf(share.upstream, key.resource(), share, share.holder.inUse(), now));
    }

    /** Removes the state of upstreams that are not known any more. */
    synchronized void retain(Set<UpstreamId> known) {
        shares.entrySet()
                .removeIf(entry -> !known.contains(entry.getKey().upstream())
                        && entry.getValue().holder.inUse() == 0);
        ownedShares.keySet().removeIf(key -> !known.contains(key.upstream()));
    }

    private void grantToSelf(Upstream upstream, Resource resource, Share share, int want, long now) {
        if (ownership.ownedAmount(upstream, resource, self) == 0) {
            return;
        }
        ShareRequest request = share.holder.request(self, ++sequence, want, true, now);
        OptionalInt limit = owner(upstream, resource).answer(self + "@" + incarnation, request, now);
        limit.ifPresent(granted -> share.holder.applyAnswer(self, request.sequence(), granted, now));
    }

    private Share share(Upstream upstream, Resource resource) {
        return shares.computeIfAbsent(
                new ShareKey(upstream.id(), resource),
                key -> new Share(
                        upstream,
                        ShareHolder.create(terms),
                        ownership.owners(upstream).size()));
    }

    private ShareOwner owner(Upstream upstream, Resource resource) {
        return ownedShares.computeIfAbsent(new ShareKey(upstream.id(), resource), key -> {
            ShareOwner created = ShareOwner.create(ownership.ownedAmount(upstream, resource, self), terms);
            if (open) {
                created.open();
            }
            return created;
        });
    }

    /** The shares of one resource of one upstream that this host holds, with its recent demand. */
    private final class Share {
        private final Upstream upstream;
        private final ShareHolder holder;
        private final int owners;
        private final Map<HostId, Integer> requestedAmounts = new HashMap<>();
        private final ShareDemand demand = ShareDemand.create();

        private Share(Upstream upstream, ShareHolder holder, int owners) {
            this.upstream = upstream;
            this.holder = holder;
            this.owners = owners;
        }

        private ShareRequest request(HostId owner, long next, long now) {
            int total = demand.totalDemand(holder.inUse(), now);
            int limitFrom = holder.limitFrom(owner, now);
            int others = Math.max(1, owners - 1);
            int want = ShareDemand.demandFrom(total, holder.limit(now), limitFrom, others);
            return holder.request(owner, next, want, ownership.owners(upstream).contains(self), now);
        }

        private boolean hasRequestedFrom(HostId owner) {
            return requestedAmounts.getOrDefault(owner, 0) > 0;
        }

        private void recordRequest(HostId owner, ShareRequest request) {
            requestedAmounts.put(owner, request.keep() + request.want());
        }
    }
}
