/** Embeddable coordination: a replicated log, its journal, membership and the peer protocol. */
package dev.waxwinghead.coordination;
