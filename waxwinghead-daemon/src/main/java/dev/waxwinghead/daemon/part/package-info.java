/** The parts that a daemon is composed of, and the context that they share. */
package dev.waxwinghead.daemon.part;
