/** The shared state: sections that the replicated log drives, and the way to propose changes to them. */
package dev.waxwinghead.daemon.state;
