/**
 * Implements {@link dev.waxwinghead.coordination.peer.PeerNetwork} over TCP: framed MessagePack, a handshake,
 * heartbeats in both directions, and reconnection.
 *
 * <p>Each entry host dials every other host and sends its messages and calls on that connection; answers return on the
 * same connection. Each pair of hosts therefore has two connections: the hosts need not agree on which one to keep, and
 * a host can reach the others before they know its address.
 */
package dev.waxwinghead.coordination.tcp;
