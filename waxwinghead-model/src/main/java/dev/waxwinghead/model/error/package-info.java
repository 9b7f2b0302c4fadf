/** Typed errors whose messages include a remedy. */
package dev.waxwinghead.model.error;
