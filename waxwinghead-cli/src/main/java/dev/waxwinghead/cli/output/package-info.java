/** Formats the results of commands as tables and JSON. */
package dev.waxwinghead.cli.output;
