/** The replicated log as its users see it: proposals, read barriers, status and the state machine it drives. */
package dev.waxwinghead.coordination.log;
