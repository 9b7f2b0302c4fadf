/** Tables and JSON for the terminal. */
package dev.waxwinghead.cli.output;
