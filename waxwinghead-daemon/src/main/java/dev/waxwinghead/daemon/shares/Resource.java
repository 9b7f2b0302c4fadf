package dev.waxwinghead.daemon.shares;

import dev.waxwinghead.daemon.upstreams.Upstream;

/** A resource of an upstream that entry hosts share. */
public enum Resource {
    /** Concurrent requests; each holds a connection too. */
    SLOTS {
        @Override
        public int total(Upstream upstream) {
            return upstream.slots();
        }
    },
    /** Concurrently open feeds, which use the connections beyond those of the slots. */
    FEEDS {
        @Override
        public int total(Upstream upstream) {
            return Math.max(0, upstream.connections() - upstream.slots());
        }
    };

    /**
     * Returns the total of this resource that an upstream has.
     *
     * @param upstream the upstream
     * @return the total, 0 or more
     */
    public abstract int total(Upstream upstream);
}
