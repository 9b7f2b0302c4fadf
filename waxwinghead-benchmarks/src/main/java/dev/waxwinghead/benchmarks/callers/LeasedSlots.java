package dev.waxwinghead.benchmarks.callers;

import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.scheduling.routing.ShareDemand;
import dev.waxwinghead.scheduling.routing.ShareHolder;
import dev.waxwinghead.scheduling.routing.ShareOwner;
import dev.waxwinghead.scheduling.routing.ShareRequest;
import dev.waxwinghead.scheduling.routing.ShareTerms;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Leases the slots of each upstream to the hosts by demand, as the daemon does, with simulated network delays.
 *
 * <p>The hosts in the data centre of an upstream own its slots; every host requests slots from the owners.
 */
final class LeasedSlots implements LoadPolicy.SlotAllocation {
    private static final long MIN_REQUEST_INTERVAL_NANOS = 5_000_000;
    private static final long RENEWAL_INTERVAL_NANOS = 100_000_000;

    private final Scenario scenario;
    private final VirtualClock clock;
    private final Runnable[] onSlotsGained;
    private final ShareHolder[][] holders;
    private final ShareDemand[][] demands;
    private final ShareOwner[][] owners;
    private final List<List<Integer>> ownersByUpstream = new ArrayList<>();
    private final long[] lastRequestNanos;
    private final boolean[][][] requested;
    private final SplittableRandom random = new SplittableRandom(2);
    private long sequence;

    private LeasedSlots(Scenario scenario, VirtualClock clock, Runnable[] onSlotsGained) {
        this.scenario = scenario;
        this.clock = clock;
        this.onSlotsGained = onSlotsGained;
        this.holders = new ShareHolder[scenario.hosts()][scenario.upstreams()];
        this.demands = new ShareDemand[scenario.hosts()][scenario.upstreams()];
        this.owners = new ShareOwner[scenario.hosts()][scenario.upstreams()];
        this.lastRequestNanos = new long[scenario.hosts()];
        this.requested = new boolean[scenario.hosts()][scenario.hosts()][scenario.upstreams()];
        for (int upstream = 0; upstream < scenario.upstreams(); upstream++) {
            ownersByUpstream.add(ownersOf(upstream));
            for (int host = 0; host < scenario.hosts(); host++) {
                holders[host][upstream] = ShareHolder.create(ShareTerms.DEFAULT);
                demands[host][upstream] = ShareDemand.create();
            }
            createOwners(upstream);
        }
        for (int host = 0; host < scenario.hosts(); host++) {
            renew(host);
        }
    }

    /**
     * Returns an allocation that runs a host's element of {@code onSlotsGained} when that host may have gained slots.
     */
    static LeasedSlots create(Scenario scenario, VirtualClock clock, Runnable[] onSlotsGained) {
        return new LeasedSlots(scenario, clock, onSlotsGained);
    }

    @Override
    public int limit(int host, int upstream, long now) {
        ShareHolder holder = holders[host][upstream];
        int limit = holder.limit(now);
        ShareOwner self = owners[host][upstream];
        if (self == null) {
            return limit;
        }
        int offer = self.offer("e" + host, holder.inUse() + 1, true, now);
        return Math.max(limit, limit - holder.limitFrom(hostId(host), now) + offer);
    }

    @Override
    public boolean tryAcquire(int host, int upstream, long now) {
        ShareHolder holder = holders[host][upstream];
        if (holder.inUse() >= holder.limit(now) && owners[host][upstream] != null) {
            requestFromSelf(host, upstream, holder.inUse() + 1, now);
        }
        return holder.tryStart(now);
    }

    @Override
    public void release(int host, int upstream) {
        holders[host][upstream].ended();
    }

    @Override
    public void requestMore(int host, int waiting, long now) {
        if (now - lastRequestNanos[host] < MIN_REQUEST_INTERVAL_NANOS) {
            return;
        }
        lastRequestNanos[host] = now;
        int localRequests = waiting;
        int remoteRequests = waiting;
        int first = random.nextInt(scenario.upstreams());
        for (int i = 0; i < scenario.upstreams(); i++) {
            int upstream = (first + i) % scenario.upstreams();
            int remaining = owners[host][upstream] != null ? localRequests-- : remoteRequests--;
            if (remaining > 0) {
                demands[host][upstream].recordDemand(holders[host][upstream].limit(now) + 1, now);
            }
        }
        requestFromOwners(host, now);
    }

    private void renew(int host) {
        long now = clock.now();
        for (int upstream = 0; upstream < scenario.upstreams(); upstream++) {
            if (owners[host][upstream] != null) {
                requestFromSelf(host, upstream, holders[host][upstream].inUse(), now);
            }
        }
        requestFromOwners(host, now);
        clock.schedule(now + RENEWAL_INTERVAL_NANOS, () -> renew(host));
    }

    private void requestFromOwners(int host, long now) {
        for (int upstream = 0; upstream < scenario.upstreams(); upstream++) {
            for (int owner : ownersByUpstream.get(upstream)) {
                if (owner != host) {
                    requestFromOwner(host, owner, upstream, now);
                }
            }
        }
    }

    private void requestFromOwner(int host, int owner, int upstream, long now) {
        ShareHolder holder = holders[host][upstream];
        int total = demands[host][upstream].totalDemand(holder.inUse(), now);
        int others = ownersByUpstream.get(upstream).size() - (owners[host][upstream] == null ? 0 : 1);
        int want = ShareDemand.demandFrom(
                total, holder.limit(now), holder.limitFrom(hostId(owner), now), Math.max(1, others));
        ShareRequest request = holder.request(hostId(owner), ++sequence, want, owners[host][upstream] != null, now);
        boolean empty = request.keep() == 0 && request.want() == 0;
        if (empty && !requested[host][owner][upstream]) {
            return;
        }
        requested[host][owner][upstream] = !empty;
        long delay = scenario.oneWayDelay(scenario.dataCentreOfHost(host), scenario.dataCentreOfHost(owner));
        clock.schedule(now + delay, () -> answerRequest(host, owner, upstream, request, now, delay));
    }

    private void answerRequest(int host, int owner, int upstream, ShareRequest request, long sentAt, long delay) {
        requestFromSelf(owner, upstream, holders[owner][upstream].inUse(), clock.now());
        owners[owner][upstream]
                .answer("e" + host, request, clock.now())
                .ifPresent(limit -> clock.schedule(clock.now() + delay, () -> {
                    holders[host][upstream].applyAnswer(hostId(owner), request.sequence(), limit, sentAt);
                    onSlotsGained[host].run();
                }));
    }

    private void requestFromSelf(int host, int upstream, int want, long now) {
        ShareHolder holder = holders[host][upstream];
        ShareRequest request = holder.request(hostId(host), ++sequence, want, true, now);
        owners[host][upstream]
                .answer("e" + host, request, now)
                .ifPresent(limit -> holder.applyAnswer(hostId(host), request.sequence(), limit, now));
    }

    private List<Integer> ownersOf(int upstream) {
        List<Integer> hosts = new ArrayList<>();
        for (int host = 0; host < scenario.hosts(); host++) {
            if (scenario.dataCentreOfHost(host) == scenario.dataCentreOfUpstream(upstream)) {
                hosts.add(host);
            }
        }
        return hosts;
    }

    private void createOwners(int upstream) {
        List<Integer> hosts = ownersByUpstream.get(upstream);
        for (int i = 0; i < hosts.size(); i++) {
            int extra = (i + upstream) % hosts.size() < scenario.slots() % hosts.size() ? 1 : 0;
            ShareOwner owner = ShareOwner.create(scenario.slots() / hosts.size() + extra, ShareTerms.DEFAULT);
            owner.open();
            owners[hosts.get(i)][upstream] = owner;
        }
    }

    private static HostId hostId(int host) {
        return HostId.of("e" + host);
    }
}
