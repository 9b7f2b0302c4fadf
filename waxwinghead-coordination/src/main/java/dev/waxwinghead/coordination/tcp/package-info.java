/**
 * The TCP adapter of the peer port: framed MessagePack, a handshake, heartbeats both ways and reconnection.
 *
 * <p>Each entry host dials every other one and sends its messages and calls on that connection; answers come back on
 * it. So there are two connections to a pair, no dispute over which to keep, and a host can reach the others before
 * they know its address.
 */
package dev.waxwinghead.coordination.tcp;
