/** The program {@code waxwingheadd}, which serves callers, workers and operators on one entry host. */
package dev.waxwinghead.daemon;
