/** The HTTP interface through which workers poll the scheduler. */
package dev.waxwinghead.daemon.workers;
