/**
 * Task scheduling: the section of the shared state that holds tasks, the acting scheduler and the operators' routes.
 */
package dev.waxwinghead.daemon.tasks;
