/** The program {@code waxwinghead}: the operators' command line. */
package dev.waxwinghead.cli;
