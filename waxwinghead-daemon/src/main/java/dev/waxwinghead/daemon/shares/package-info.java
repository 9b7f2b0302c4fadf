/** Slots and connections of upstreams, shared between entry hosts and lent by demand. */
package dev.waxwinghead.daemon.shares;
