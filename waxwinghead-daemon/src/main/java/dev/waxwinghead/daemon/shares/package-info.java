/** Slots and connections of upstreams, shared between entry hosts by leases that follow demand. */
package dev.waxwinghead.daemon.shares;
