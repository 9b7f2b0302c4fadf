/** The registry of upstreams: announcements held under leases and exchanged between all entry hosts by gossip. */
package dev.waxwinghead.daemon.upstreams;
