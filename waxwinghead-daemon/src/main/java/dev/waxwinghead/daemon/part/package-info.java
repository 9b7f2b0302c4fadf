/** The parts that a daemon is composed of, and what each is given. */
package dev.waxwinghead.daemon.part;
