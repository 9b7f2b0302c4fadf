package dev.waxwinghead.daemon.upstreams;

import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;

/** Holds the state of one upstream in the {@link UpstreamRegistry}. */
final class UpstreamEntry {
    private final Upstream upstream;
    private final long number;
    private volatile long version;
    private volatile boolean leaving;
    private volatile Deadline lease;
    private volatile Deadline localLease;
    private boolean leaseEndDetected = true;

    private UpstreamEntry(Upstream upstream, long version, long now) {
        this.upstream = upstream;
        this.number = version;
        this.version = version;
        this.lease = new Deadline(now);
        this.localLease = new Deadline(now);
    }

    static UpstreamEntry create(Upstream upstream, long version, long now) {
        return new UpstreamEntry(upstream, version, now);
    }

    Upstream upstream() {
        return upstream;
    }

    /** Returns the number that identifies the upstream in the messages from this host to its peers. */
    long number() {
        return number;
    }

    long version() {
        return version;
    }

    boolean leaving() {
        return leaving;
    }

    Deadline localLease() {
        return localLease;
    }

    boolean isServing(Ticker ticker) {
        return !leaving && !lease.passed(ticker);
    }

    boolean isAnnouncedLocally(Ticker ticker) {
        return !localLease.passed(ticker);
    }

    void renewLease(Deadline until) {
        if (until.nanos() - lease.nanos() > 0) {
            lease = until;
            leaseEndDetected = false;
        }
    }

    void renewLocalLease(Deadline until) {
        localLease = until;
    }

    void markLeaving(long newVersion) {
        leaving = true;
        version = newVersion;
    }

    void markLocal(long newVersion) {
        version = newVersion;
    }

    boolean detectLeaseEnd(Ticker ticker) {
        if (leaseEndDetected || !lease.passed(ticker)) {
            return false;
        }
        leaseEndDetected = true;
        return true;
    }

    boolean leaseEndedBefore(long nanos) {
        return lease.nanos() - nanos < 0;
    }
}
