/**
 * The shared state: sections that are updated from the replicated log, and the interface to propose changes to them.
 */
package dev.waxwinghead.daemon.state;
