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
 * Holds what this entry host owns and lends of each upstream, and what it has been lent.
 *
 * <p>One lock guards all. Nothing else is locked inside it. Times are nanoseconds of this host's monotonic clock.
 */
final class Shares {

    private final HostId self;
    private final long incarnation;
    private final Ownership ownership;
    private final ShareTerms terms;
    private final Map<ShareKey, Share> shares = new HashMap<>();
    private final Map<ShareKey, ShareOwner> owned = new HashMap<>();
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

    /** Lets this host lend what it owns. */
    synchronized void open() {
        open = true;
        owned.values().forEach(ShareOwner::open);
    }

    synchronized boolean isOpen() {
        return open;
    }

    /** Returns how much this host may have in use now, one more of what it owns if it would give that to itself. */
    synchronized int limit(Upstream upstream, Resource resource, long now) {
        Share share = share(upstream, resource);
        int limit = share.holder.limit(now);
        if (ownership.part(upstream, resource, self) == 0) {
            return limit;
        }
        int offer = owner(upstream, resource).offer(self + "@" + incarnation, share.holder.inUse() + 1, true, now);
        return Math.max(limit, limit - share.holder.limitFrom(self, now) + offer);
    }

    synchronized boolean tryStart(Upstream upstream, Resource resource, long now) {
        Share share = share(upstream, resource);
        if (share.holder.inUse() >= share.holder.limit(now)) {
            takeOwn(upstream, resource, share, share.holder.inUse() + 1, now);
        }
        return share.holder.tryStart(now);
    }

    synchronized void ended(Upstream upstream, Resource resource) {
        share(upstream, resource).holder.ended();
    }

    /** Records that requests wait: asks for one more slot of as many upstreams, near ones and far ones. */
    synchronized void wanted(Collection<Upstream> upstreams, Resource resource, int waiting, long now) {
        List<Upstream> shuffled = new ArrayList<>(upstreams);
        Collections.shuffle(shuffled, random);
        int near = waiting;
        int far = waiting;
        for (Upstream upstream : shuffled) {
            boolean isNear = ownership.owners(upstream).contains(self);
            int left = isNear ? near-- : far--;
            if (left > 0) {
                Share share = share(upstream, resource);
                share.demand.want(share.holder.limit(now) + 1, now);
            }
        }
    }

    /** Returns how many requests or feeds must be given up at once. */
    synchronized int excess(Upstream upstream, Resource resource, long now) {
        return share(upstream, resource).holder.excess(now);
    }

    /** Returns what to ask an owner for, and lowers the limits to what the requests keep. */
    synchronized ShareCodec.Ask ask(HostId owner, long now) {
        Map<ShareKey, ShareRequest> requests = new LinkedHashMap<>();
        shares.forEach((key, share) -> {
            if (ownership.part(share.upstream, key.resource(), owner) == 0) {
                return;
            }
            ShareRequest request = share.request(owner, ++sequence, now);
            if (request.keep() > 0 || request.want() > 0 || share.lent(owner)) {
                requests.put(key, request);
                share.asked(owner, request);
            }
        });
        return new ShareCodec.Ask(incarnation, requests);
    }

    /** Takes in an owner's answer to an ask. */
    synchronized void answered(HostId owner, ShareCodec.Ask ask, Map<ShareKey, Integer> limits, long sentAt) {
        limits.forEach((key, limit) -> {
            Share share = shares.get(key);
            ShareRequest request = ask.requests().get(key);
            if (share != null && request != null) {
                share.holder.answered(owner, request.sequence(), limit, sentAt);
            }
        });
    }

    /**
     * Answers an ask as an owner, after giving back what it does not use itself; what is not known here is left out.
     */
    synchronized Map<ShareKey, Integer> answer(
            HostId from, ShareCodec.Ask ask, Map<UpstreamId, Upstream> known, long now) {
        Map<ShareKey, Integer> limits = new LinkedHashMap<>();
        ask.requests().forEach((key, request) -> {
            Upstream upstream = known.get(key.upstream());
            if (upstream != null) {
                Share own = share(upstream, key.resource());
                takeOwn(upstream, key.resource(), own, own.holder.inUse(), now);
                owner(upstream, key.resource())
                        .answer(from + "@" + ask.incarnation(), request, now)
                        .ifPresent(limit -> limits.put(key, limit));
            }
        });
        return limits;
    }

    /** Renews what this host lends to itself. */
    synchronized void renewOwn(long now) {
        shares.forEach((key, share) -> takeOwn(share.upstream, key.resource(), share, share.holder.inUse(), now));
    }

    /** Forgets upstreams that are gone for good. */
    synchronized void retain(Set<UpstreamId> known) {
        shares.entrySet()
                .removeIf(entry -> !known.contains(entry.getKey().upstream())
                        && entry.getValue().holder.inUse() == 0);
        owned.keySet().removeIf(key -> !known.contains(key.upstream()));
    }

    private void takeOwn(Upstream upstream, Resource resource, Share share, int want, long now) {
        if (ownership.part(upstream, resource, self) == 0) {
            return;
        }
        ShareRequest request = share.holder.request(self, ++sequence, want, true, now);
        OptionalInt limit = owner(upstream, resource).answer(self + "@" + incarnation, request, now);
        limit.ifPresent(given -> share.holder.answered(self, request.sequence(), given, now));
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
        return owned.computeIfAbsent(new ShareKey(upstream.id(), resource), key -> {
            ShareOwner created = ShareOwner.create(ownership.part(upstream, resource, self), terms);
            if (open) {
                created.open();
            }
            return created;
        });
    }

    /** What this host has of one resource of one upstream, and how much it lately wanted. */
    private final class Share {
        private final Upstream upstream;
        private final ShareHolder holder;
        private final int owners;
        private final Map<HostId, Integer> lent = new HashMap<>();
        private final ShareDemand demand = ShareDemand.create();

        private Share(Upstream upstream, ShareHolder holder, int owners) {
            this.upstream = upstream;
            this.holder = holder;
            this.owners = owners;
        }

        private ShareRequest request(HostId owner, long next, long now) {
            int total = demand.total(holder.inUse(), now);
            int limitFrom = holder.limitFrom(owner, now);
            int others = Math.max(1, owners - 1);
            int want = ShareDemand.from(total, holder.limit(now), limitFrom, others);
            return holder.request(owner, next, want, ownership.owners(upstream).contains(self), now);
        }

        private boolean lent(HostId owner) {
            return lent.getOrDefault(owner, 0) > 0;
        }

        private void asked(HostId owner, ShareRequest request) {
            lent.put(owner, request.keep() + request.want());
        }
    }
}
