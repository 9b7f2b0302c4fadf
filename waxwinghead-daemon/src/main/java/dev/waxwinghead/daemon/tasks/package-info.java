/** Tasks in the daemon: their section of the shared state, the acting scheduler and the operators' routes. */
package dev.waxwinghead.daemon.tasks;
