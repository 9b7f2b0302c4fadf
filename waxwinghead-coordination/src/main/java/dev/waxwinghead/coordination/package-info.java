/** Embeddable coordination: a replicated log, the journal that stores it, group membership and the peer protocol. */
package dev.waxwinghead.coordination;
