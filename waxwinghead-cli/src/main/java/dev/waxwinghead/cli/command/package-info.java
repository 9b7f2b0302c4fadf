/** The commands of the command line, one class each, and the options that they share. */
package dev.waxwinghead.cli.command;
