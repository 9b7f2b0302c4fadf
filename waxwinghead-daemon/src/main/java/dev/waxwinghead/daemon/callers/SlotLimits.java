package dev.waxwinghead.daemon.callers;

import dev.waxwinghead.daemon.upstreams.Upstream;

/** Tells how many slots and connections of an upstream this entry host may use. */
public interface SlotLimits {
    /**
     * Returns the slots that this host may use now.
     *
     * @param upstream the upstream
     * @return the number of slots, 0 or more
     */
    int slots(Upstream upstream);

    /**
     * Returns limits that give all slots of an upstream to this host, for a single entry host.
     *
     * @return the limits, never null
     */
    static SlotLimits unshared() {
        return Upstream::slots;
    }
}
