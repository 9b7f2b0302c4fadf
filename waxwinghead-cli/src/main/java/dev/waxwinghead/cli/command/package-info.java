/** Commands of the operators' command line and the options that they share. */
package dev.waxwinghead.cli.command;
