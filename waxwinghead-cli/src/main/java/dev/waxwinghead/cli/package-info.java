/** The operators' command line: reads the arguments, runs one command and ends with the status of its outcome. */
package dev.waxwinghead.cli;
