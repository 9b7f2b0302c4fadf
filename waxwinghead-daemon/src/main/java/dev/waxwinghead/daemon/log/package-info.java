/** Structured log lines: one JSON object for each decision, written without ever blocking the logging thread. */
package dev.waxwinghead.daemon.log;
