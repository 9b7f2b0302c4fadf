/** Claims of keyed requests: a section of the shared state by which each key is sent to an upstream at most once. */
package dev.waxwinghead.daemon.claims;
