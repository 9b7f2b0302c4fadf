/** The program {@code waxwingheadd}: it serves callers, workers and operators on one entry host. */
package dev.waxwinghead.daemon;
