/** The operators' command line, which runs one command and exits with a status for its outcome. */
package dev.waxwinghead.cli;
