/** The interface through which workers poll. */
package dev.waxwinghead.daemon.workers;
