/** Claims of keyed requests: a section of the shared state that lets each key be sent to an upstream at most once. */
package dev.waxwinghead.daemon.claims;
