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

/** Lends the slots of each upstream between the hosts by demand, with the delays of the network. */
final class LentSlots implements LoadPolicy.SlotDivision {
    private static final long LEAST_ASK_NANOS = 5_000_000;
    private static final long RENEW_NANOS = 100_000_000;

    private final Scenario scenario;
    private final VirtualClock clock;
    private final Runnable[] onGain;
    private final ShareHolder[][] holders;
    private final ShareDemand[][] demands;
    private final ShareOwner[][] owners;
    private final List<List<Integer>> ownersOf = new ArrayList<>();
    private final long[] askedAt;
    private final boolean[][][] lent;
    private final SplittableRandom random = new SplittableRandom(2);
    private long sequence;

    private LentSlots(Scenario scenario, VirtualClock clock, Runnable[] onGain) {
        this.scenario = scenario;
        this.clock = clock;
        this.onGain = onGain;
        this.holders = new ShareHolder[scenario.hosts()][scenario.upstreams()];
        this.demands = new ShareDemand[scenario.hosts()][scenario.upstreams()];
        this.owners = new ShareOwner[scenario.hosts()][scenario.upstreams()];
        this.askedAt = new long[scenario.hosts()];
        this.lent = new boolean[scenario.hosts()][scenario.hosts()][scenario.upstreams()];
        for (int upstream = 0; upstream < scenario.upstreams(); upstream++) {
            ownersOf.add(ownersOf(upstream));
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

    /** Returns a division; the runnables are called when a host may have gained slots. */
    static LentSlots create(Scenario scenario, VirtualClock clock, Runnable[] onGain) {
        return new LentSlots(scenario, clock, onGain);
    }

    @Override
    public int limit(int host, int upstream, long now) {
        ShareHolder holder = holders[host][upstream];
        int limit = holder.limit(now);
        ShareOwner own = owners[host][upstream];
        if (own == null) {
            return limit;
        }
        int offer = own.offer("e" + host, holder.inUse() + 1, true, now);
        return Math.max(limit, limit - holder.limitFrom(id(host), now) + offer);
    }

    @Override
    public boolean tryStart(int host, int upstream, long now) {
        ShareHolder holder = holders[host][upstream];
        if (holder.inUse() >= holder.limit(now) && owners[host][upstream] != null) {
            takeOwn(host, upstream, holder.inUse() + 1, now);
        }
        return holder.tryStart(now);
    }

    @Override
    public void ended(int host, int upstream) {
        holders[host][upstream].ended();
    }

    @Override
    public void wanted(int host, int waiting, long now) {
        if (now - askedAt[host] < LEAST_ASK_NANOS) {
            return;
        }
        askedAt[host] = now;
        int near = waiting;
        int far = waiting;
        int first = random.nextInt(scenario.upstreams());
        for (int i = 0; i < scenario.upstreams(); i++) {
            int upstream = (first + i) % scenario.upstreams();
            int left = owners[host][upstream] != null ? near-- : far--;
            if (left > 0) {
                demands[host][upstream].want(holders[host][upstream].limit(now) + 1, now);
            }
        }
        askAll(host, now);
    }

    private void renew(int host) {
        long now = clock.now();
        for (int upstream = 0; upstream < scenario.upstreams(); upstream++) {
            if (owners[host][upstream] != null) {
                takeOwn(host, upstream, holders[host][upstream].inUse(), now);
            }
        }
        askAll(host, now);
        clock.at(now + RENEW_NANOS, () -> renew(host));
    }

    private void askAll(int host, long now) {
        for (int upstream = 0; upstream < scenario.upstreams(); upstream++) {
            for (int owner : ownersOf.get(upstream)) {
                if (owner != host) {
                    ask(host, owner, upstream, now);
                }
            }
        }
    }

    private void ask(int host, int owner, int upstream, long now) {
        ShareHolder holder = holders[host][upstream];
        int total = demands[host][upstream].total(holder.inUse(), now);
        int others = ownersOf.get(upstream).size() - (owners[host][upstream] == null ? 0 : 1);
        int want = ShareDemand.from(total, holder.limit(now), holder.limitFrom(id(owner), now), Math.max(1, others));
        ShareRequest request = holder.request(id(owner), ++sequence, want, owners[host][upstream] != null, now);
        boolean nothing = request.keep() == 0 && request.want() == 0;
        if (nothing && !lent[host][owner][upstream]) {
            return;
        }
        lent[host][owner][upstream] = !nothing;
        long delay = scenario.between(scenario.dataCentreOfHost(host), scenario.dataCentreOfHost(owner));
        clock.at(now + delay, () -> answer(host, owner, upstream, request, now, delay));
    }

    private void answer(int host, int owner, int upstream, ShareRequest request, long sentAt, long delay) {
        takeOwn(owner, upstream, holders[owner][upstream].inUse(), clock.now());
        owners[owner][upstream]
                .answer("e" + host, request, clock.now())
                .ifPresent(limit -> clock.at(clock.now() + delay, () -> {
                    holders[host][upstream].answered(id(owner), request.sequence(), limit, sentAt);
                    onGain[host].run();
                }));
    }

    private void takeOwn(int host, int upstream, int want, long now) {
        ShareHolder holder = holders[host][upstream];
        ShareRequest request = holder.request(id(host), ++sequence, want, true, now);
        owners[host][upstream]
                .answer("e" + host, request, now)
                .ifPresent(limit -> holder.answered(id(host), request.sequence(), limit, now));
    }

    private List<Integer> ownersOf(int upstream) {
        List<Integer> found = new ArrayList<>();
        for (int host = 0; host < scenario.hosts(); host++) {
            if (scenario.dataCentreOfHost(host) == scenario.dataCentreOfUpstream(upstream)) {
                found.add(host);
            }
        }
        return found;
    }

    private void createOwners(int upstream) {
        List<Integer> hosts = ownersOf.get(upstream);
        for (int i = 0; i < hosts.size(); i++) {
            int odd = (i + upstream) % hosts.size() < scenario.slots() % hosts.size() ? 1 : 0;
            ShareOwner owner = ShareOwner.create(scenario.slots() / hosts.size() + odd, ShareTerms.DEFAULT);
            owner.open();
            owners[hosts.get(i)][upstream] = owner;
        }
    }

    private static HostId id(int host) {
        return HostId.of("e" + host);
    }
}
