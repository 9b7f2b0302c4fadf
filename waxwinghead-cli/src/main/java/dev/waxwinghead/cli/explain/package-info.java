/** Puts the log lines about one job in order and reads its story from them. */
package dev.waxwinghead.cli.explain;
