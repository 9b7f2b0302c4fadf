package dev.waxwinghead.daemon.shares;

import dev.waxwinghead.daemon.upstreams.Upstream;

/** Lists what of an upstream is shared. */
public enum Resource {
    /** Requests at once; each holds a connection too. */
    SLOTS {
        @Override
        public int total(Upstream upstream) {
            return upstream.slots();
        }
    },
    /** Open feeds: the connections that the slots leave. */
    FEEDS {
        @Override
        public int total(Upstream upstream) {
            return Math.max(0, upstream.connections() - upstream.slots());
        }
    };

    /**
     * Returns how much of it an upstream has.
     *
     * @param upstream the upstream
     * @return the number, 0 or more
     */
    public abstract int total(Upstream upstream);
}
