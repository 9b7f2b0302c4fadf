/** Structured log lines: one JSON object for each decision, written without ever blocking the one who decides. */
package dev.waxwinghead.daemon.log;
