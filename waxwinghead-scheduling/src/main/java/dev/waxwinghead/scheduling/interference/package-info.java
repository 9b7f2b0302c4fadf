/** Learns from late measurements what batch tasks do to the services beside them. */
package dev.waxwinghead.scheduling.interference;
