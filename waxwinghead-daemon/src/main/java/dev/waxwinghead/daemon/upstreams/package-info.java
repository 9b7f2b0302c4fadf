/** The registry of upstreams: announcements under leases, exchanged between all entry hosts. */
package dev.waxwinghead.daemon.upstreams;
