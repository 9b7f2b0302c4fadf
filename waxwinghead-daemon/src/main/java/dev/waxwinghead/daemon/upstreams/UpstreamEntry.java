package dev.waxwinghead.daemon.upstreams;

import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;

/** Holds what the registry knows about one upstream. */
final class UpstreamEntry {
    private final Upstream upstream;
    private final long number;
    private volatile long version;
    private volatile boolean leaving;
    private volatile Deadline lease;
    private volatile Deadline localLease;
    private boolean endNoticed = true;

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

    /** Returns the number that stands for the upstream between this host and its peers. */
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

    boolean serving(Ticker ticker) {
        return !leaving && !lease.passed(ticker);
    }

    boolean announcedHere(Ticker ticker) {
        return !localLease.passed(ticker);
    }

    void extend(Deadline until) {
        if (until.nanos() - lease.nanos() > 0) {
            lease = until;
            endNoticed = false;
        }
    }

    void extendLocal(Deadline until) {
        localLease = until;
    }

    void leave(long newVersion) {
        leaving = true;
        version = newVersion;
    }

    void becomeLocal(long newVersion) {
        version = newVersion;
    }

    boolean noticeEnd(Ticker ticker) {
        if (endNoticed || !lease.passed(ticker)) {
            return false;
        }
        endNoticed = true;
        return true;
    }

    boolean endedBefore(long nanos) {
        return lease.nanos() - nanos < 0;
    }
}
