/** Public API of the replicated log: proposals, read barriers, status and the state machine that applies the log. */
package dev.waxwinghead.coordination.log;
